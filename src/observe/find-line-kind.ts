import { hasWithin } from './has-within.js'
import { isSubjectLine } from './is-subject-line.js'
import { listLineServers } from './list-line-servers.js'
import type { LogLine } from './log-line.js'
import { logSentences } from './log-sentences.js'
import type { Touched } from './touched.js'
import type { TraceEvent } from './trace-event.js'
import type { TraceSubject } from './trace-subject.js'

/** How long before a line of the course what a daemon learnt may bear on it, and how long after, ms. */
const LEARNT_BEFORE = 5_000
const LEARNT_AFTER = 1_000
/** How far from a line of the course a failure, or another's request, tells of the same moment, ms. */
const NEAR = 1_000

/** What a line is to the course of a subject; `undefined` where it is nothing to it. */
export function findLineKind (line: LogLine, subject: TraceSubject, { servers, times }: Touched): TraceEvent['kind'] | 'routine' | undefined {
  const isRoutine = logSentences.isRoutine(line)
  if (isSubjectLine(line, subject)) return subject.type === 'server' && isRoutine ? 'routine' : 'own'
  const own = times.get(line.instance) ?? []
  const isNear = hasWithin(own, line.time - NEAR, line.time + NEAR)
  if (line.level === 'error' || line.level === 'warn') return isNear ? 'failure' : undefined
  const named = listLineServers(line)
  const isAbout = named.some(server => servers.has(server))
  if (line.fields.request !== undefined || line.fields.job !== undefined) return !isAbout || !isNear ? undefined : isRoutine ? 'routine' : 'other'
  const mayBear = hasWithin(own, line.time - LEARNT_AFTER, line.time + LEARNT_BEFORE)
  return mayBear && (named.length === 0 || isAbout) ? 'belief' : undefined
}
