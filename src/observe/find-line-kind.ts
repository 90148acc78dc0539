import { hasTimeBetween } from './has-time-between.js'
import { isBlamed } from './is-blamed.js'
import { isSubjectLine } from './is-subject-line.js'
import { listLineServers } from './list-line-servers.js'
import type { LogLine } from './log-line.js'
import { logPatterns } from './log-patterns.js'
import type { TraceScope } from './trace/trace-scope.js'
import type { TraceEvent } from './trace/trace-event.js'
import type { TraceSubject } from './trace/trace-subject.js'

/** State changes of a daemon are included from this long before a line of the trace, ms. */
const STATE_CHANGE_BEFORE = 5_000
/** State changes of a daemon are included until this long after a line of the trace, ms. */
const STATE_CHANGE_AFTER = 1_000
/** Failures and other requests are included up to this long before or after a line of the trace, ms. */
const MAX_DISTANCE = 1_000

/** Finds how a line relates to the traced subject; undefined if it is unrelated. `routine` lines are counted, not shown. */
export function findLineKind (line: LogLine, subject: TraceSubject, scope: TraceScope): TraceEvent['kind'] | 'routine' | undefined {
  const { servers, timesByInstance } = scope
  const isRoutine = logPatterns.isRoutine(line)
  if (isSubjectLine(line, subject)) return subject.type === 'server' && isRoutine ? 'routine' : 'own'
  if (isBlamed(line, scope)) return 'failure'
  const times = timesByInstance.get(line.instance) ?? []
  const isNear = hasTimeBetween(times, line.time - MAX_DISTANCE, line.time + MAX_DISTANCE)
  if (line.level === 'error' || line.level === 'warn') return isNear ? 'failure' : undefined
  const lineServers = listLineServers(line)
  const namesServer = lineServers.some(server => servers.has(server))
  if (line.fields.request !== undefined || line.fields.job !== undefined) return !namesServer || !isNear ? undefined : isRoutine ? 'routine' : 'other'
  const mayMatter = hasTimeBetween(times, line.time - STATE_CHANGE_AFTER, line.time + STATE_CHANGE_BEFORE)
  return mayMatter && (lineServers.length === 0 || namesServer) ? 'belief' : undefined
}
