import { isLate } from './is-late.js'

/** A waiting request as its turn is decided. Times in ms. */
interface Waiting {
  readonly arrived: number
  /** From when its target counts: its arrival, or its caller's first try where that wasn't refused. */
  readonly begun: number
  /** Target for its first event, from `begun`. */
  readonly target: number
  readonly priority: number
  /** Whether its caller has been refused before and comes for the last time. */
  readonly returning: boolean
}

/**
 * Which of two waiting requests goes first; negative for `a`. Those that can still be in time go before those that can't:
 * with more requests than slots, a queue in the order of arrival makes every request late, while the late ones lose little
 * by waiting on. After an end of all daemons, half of the first callers come from a try that met nobody and are late when they
 * arrive; before the others they would make those late too. Among those in time, callers that come back go first, having no
 * further try, then the more urgent, then the earlier.
 */
export function compareWaiting (a: Waiting, b: Waiting, now: number): number {
  return Number(isLate(a, now)) - Number(isLate(b, now)) || Number(b.returning) - Number(a.returning) || a.priority - b.priority || a.arrived - b.arrived
}
