import type { LastRead } from '../versions/last-read.js'

interface StartLimits {
  /** Longest age of the last read in ms while the store answers. */
  readonly fresh?: number
  /** Longest age of the last read in ms while the store doesn't answer. */
  readonly unchecked?: number
}

/**
 * Whether work may start now, by the last read that checked that it is still to be done. This stops a holder that was
 * paused, cut off or missed a message from continuing work whose cancellation was acknowledged elsewhere. While the
 * store answers, the read must be at most `fresh` old; while it doesn't, work may go on for `unchecked`, so that an
 * outage costs no throughput at first and a partitioned holder still stops. After a pause nothing starts before a new
 * read.
 *
 * @example
 * mayStart({ seen: 1_000, unreachable: false }, 5_000) // true: 4 s old
 * mayStart({ seen: 1_000, unreachable: false }, 5_000, { fresh: 2_500 }) // false
 */
export function mayStart ({ seen, unreachable }: LastRead, now: number, { fresh = 5_000, unchecked = 60_000 }: StartLimits = {}): boolean {
  if (seen === undefined) return false
  return now - seen <= (unreachable ? unchecked : fresh)
}
