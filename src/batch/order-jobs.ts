import type { WorkEntry } from './work-entry.js'

/** Safety margin in ms for deciding whether a job makes its due time. */
const SLACK = 600_000

interface OrderOptions {
  /** Wall-clock ms. */
  readonly date: number
  /** Weight of the caller's share. */
  readonly share: (caller: string) => number
  /** Items that a caller or a job got recently. */
  readonly used: (callerOrJob: string) => number
  /** Estimated time in ms that the items of a job still need. */
  readonly estimate: (entry: WorkEntry) => number
}

/**
 * Orders open jobs for taking work from them. Jobs that would miss their due time come first, by due time. The others
 * follow by fair share: first those of the caller that got least for its weight, and among these the job that got
 * least, so that neither a caller with many jobs nor a very large job delays small ones.
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
