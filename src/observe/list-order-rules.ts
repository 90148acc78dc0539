import { findLineJob } from './find-line-job.js'
import type { LogLine } from './log-line.js'
import { logSentences } from './log-sentences.js'
import type { OrderRule } from './order-rule.js'

const { isAccepted, isTakeOver, isGivingWay } = logSentences

/** Which lines of a job must have come before which of another instance. `instances`: by the names under which lines speak of them. */
export function listOrderRules (lines: readonly LogLine[], instances: ReadonlyMap<string, string>): readonly OrderRule[] {
  const owning = lines.filter(line => isAccepted(line) || isTakeOver(line))
  const listOthers = (line: LogLine): readonly LogLine[] => owning.filter(other => other.instance !== line.instance && findLineJob(other) === findLineJob(line))
  return [
    ...lines.filter(isTakeOver).flatMap(later => listOthers(later).filter(isAccepted)
      .map(earlier => ({ earlier, later, why: 'a job is confirmed before another daemon takes it over' }))),
    ...lines.filter(isGivingWay).flatMap(later => listOthers(later).filter(({ instance }) => instance === instances.get(String(later.fields.to))).slice(0, 1)
      .map(earlier => ({ earlier, later, why: 'a job has its other owner before a daemon gives it to that one' })))
  ]
}
