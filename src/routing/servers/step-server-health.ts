import { failUnreachable } from '../../kernel/unreachable.js'
import type { ServerHealth } from './server-health.js'

/** Failures in a row at which a server is ejected. */
const MAX_FAILURES = 3
/** Times in ms. */
const MIN_EJECTION = 500
const MAX_EJECTION = 30_000

type HealthEvent = 'answered' | 'failed' | 'unreachable'

/**
 * Applies the outcome of an exchange to a server's health; undefined is healthy. Ejects a server after repeated failures,
 * or immediately if it is unreachable, for a time that doubles with each ejection. Afterwards the server gets one request
 * at a time, as a probe, until it answers.
 */
export function stepServerHealth (health: ServerHealth | undefined, event: HealthEvent, now: number): ServerHealth | undefined {
  const { failures, ejections, ejectedUntil } = health ?? { failures: 0, ejections: 0, ejectedUntil: 0 }
  switch (event) {
    case 'answered': return undefined
    case 'unreachable': return now < ejectedUntil ? { failures, ejections, ejectedUntil, failedAt: now } : eject(failures + 1, ejections, now)
    case 'failed':
      if (now < ejectedUntil) return { failures, ejections, ejectedUntil, failedAt: now }
      if (ejections > 0 || failures + 1 >= MAX_FAILURES) return eject(failures + 1, ejections, now)
      return { failures: failures + 1, ejections, ejectedUntil, failedAt: now }
    default: return failUnreachable(event)
  }
}

function eject (failures: number, ejections: number, now: number): ServerHealth {
  return { failures, failedAt: now, ejections: ejections + 1, ejectedUntil: now + Math.min(MAX_EJECTION, MIN_EJECTION * 2 ** ejections) }
}
