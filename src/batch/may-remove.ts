import type { Job } from './job.js'

/**
 * Returns whether a job and its results may be removed: it has ended, its results have been read completely, and
 * `keep` ms have passed since both. Results that have not been read are never removed.
 */
export function mayRemove (job: Job, { keep, date }: { readonly keep: number, readonly date: number }): boolean {
  if (job.ended === undefined || job.read === undefined) return false
  return date >= Math.max(job.ended, job.read) + keep
}
