import type { WorkEntry } from './work-entry.js'

/** Time in ms kept in hand when judging whether a job still makes its due time. */
const SLACK = 600_000

interface OrderOptions {
  /** Wall-clock ms. */
  readonly date: number
  /** Weight of a caller's share. */
  readonly share: (caller: string) => number
  /** Items that a caller, or a job, got recently. */
  readonly used: (callerOrJob: string) => number
  /** Ms that the items of a job need, at the pace of late. */
  readonly estimate: (entry: WorkEntry) => number
}

/**
 * Open jobs in the order in which to take work from them. Those that would miss their due time go first, the
 * earliest due before the others. Among the rest each caller gets its share: first the caller that got least for its
 * weight, and of its jobs first the one that got least, so that neither a caller with many jobs nor a job of 98,000
 * items keeps small ones waiting.
 */
export function orderJobs (entries: readonly WorkEntry[], { date, share, used, estimate }: OrderOptions): readonly WorkEntry[] {
  const rated = entries.map(entry => ({
    entry,
    urgent: entry.due - date - estimate(entry) < SLACK,
    caller: used(entry.caller) / Math.max(share(entry.caller), Number.MIN_VALUE),
    job: used(entry.job)
  }))
  return rated.sort((a, b) => {
    if (a.urgent !== b.urgent) return a.urgent ? -1 : 1
    if (a.urgent) return a.entry.due - b.entry.due
    return a.caller - b.caller || a.job - b.job || a.entry.due - b.entry.due
  }).map(({ entry }) => entry)
}
