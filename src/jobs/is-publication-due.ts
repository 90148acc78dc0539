import type { KnownJob } from './registry/known-job.js'

/** Minimum time between two publications of how much of a job is left, ms. */
const PROGRESS_PERIOD = 2_000

/**
 * Whether the owner of a job must publish it again: its entry names another owner, or is behind. The number of tokens left counts against
 * the limit of the job's route and isn't urgent.
 */
export function isPublicationDue (entry: KnownJob, current: KnownJob, { sincePublished }: { readonly sincePublished: number }): boolean {
  const isOwner = entry.owner === current.owner && entry.run === current.run
  if (!isOwner || (current.closed && !entry.closed)) return true
  return entry.tokensLeft !== current.tokensLeft && sincePublished >= PROGRESS_PERIOD
}
