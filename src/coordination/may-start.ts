import type { LastRead } from './last-read.js'

interface StartLimits {
  /** Oldest look in ms while the platform answers. */
  readonly fresh?: number
  /** Longest time in ms for which work starts without a look succeeding. */
  readonly unchecked?: number
}

/**
 * Whether work may start now by the last look at whether it still goes on. Without this a holder that was paused, cut off, or missed the
 * message goes on with work whose end was acknowledged elsewhere. While the platform answers, a look is at most
 * `fresh` old; while it doesn't, what is held goes on for `unchecked`, so an outage costs no throughput at first and a holder in a
 * partition still stops. After a pause nothing starts before a new look.
 *
 * @example
 * mayStart({ seen: 1_000, unreachable: false }, 5_000) // true: 4 s old
 * mayStart({ seen: 1_000, unreachable: false }, 5_000, { fresh: 2_500 }) // false
 */
export function mayStart ({ seen, unreachable }: LastRead, now: number, { fresh = 5_000, unchecked = 60_000 }: StartLimits = {}): boolean {
  if (seen === undefined) return false
  return now - seen <= (unreachable ? unchecked : fresh)
}
