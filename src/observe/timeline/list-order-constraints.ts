import { findLineJob } from '../find-line-job.js'
import type { LogLine } from '../log-line.js'
import { logPatterns } from '../log-patterns.js'
import type { OrderConstraint } from './order-constraint.js'

const { isAccepted, isTakeOver, isHandOver } = logPatterns

/** Lists which lines of a job must precede lines of another instance. `instances`: by the names under which log lines refer to them. */
export function listOrderConstraints (lines: readonly LogLine[], instances: ReadonlyMap<string, string>): readonly OrderConstraint[] {
  const ownerLines = lines.filter(line => isAccepted(line) || isTakeOver(line))
  const listOtherOwners = (line: LogLine): readonly LogLine[] => ownerLines.filter(other => other.instance !== line.instance && findLineJob(other) === findLineJob(line))
  return [
    ...lines.filter(isTakeOver).flatMap(later => listOtherOwners(later).filter(isAccepted)
      .map(earlier => ({ earlier, later, reason: 'a job is confirmed before another daemon takes it over' }))),
    ...lines.filter(isHandOver).flatMap(later => listOtherOwners(later).filter(({ instance }) => instance === instances.get(String(later.fields.to))).slice(0, 1)
      .map(earlier => ({ earlier, later, reason: 'a daemon hands a job over only after the other owner has it' })))
  ]
}
