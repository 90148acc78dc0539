import type { JobCheck } from './job-check.js'

/** Oldest look at a job, in ms, while the platform answers. */
const FRESH = 5_000
/** Longest time in ms for which items start without that look succeeding. */
const UNCHECKED_LIMIT = 60_000

/**
 * Whether an item of the job may start. Without this a holder that was paused, or cut off, goes on starting items of
 * a job whose cancelling was acknowledged elsewhere. While the platform answers, a look is at most 5 s old; while it
 * doesn't, what is claimed goes on for 60 s, so an outage costs no throughput at first and a holder in a partition
 * still stops. After a pause nothing starts before a new look.
 */
export function mayStart ({ seen, unreachable }: JobCheck, now: number): boolean {
  if (seen === undefined) return false
  return now - seen <= (unreachable ? UNCHECKED_LIMIT : FRESH)
}
