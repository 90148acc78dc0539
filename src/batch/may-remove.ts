import type { Job } from './job.js'

/**
 * Whether a job and its results may be removed: it has ended, its results were read whole at least once, and `keep`
 * ms have passed since. Results that nobody has read are never removed.
 */
export function mayRemove (job: Job, { keep, date }: { readonly keep: number, readonly date: number }): boolean {
  if (job.ended === undefined || job.read === undefined) return false
  return date >= Math.max(job.ended, job.read) + keep
}
