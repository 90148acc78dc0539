import type { JobHeader } from './job-header.js'
import type { KnownJob } from './known-job.js'

/** What the head of a job tells of it; `stored` says whether its items are known to be there as well. */
export function readKnownJob (id: string, { host, path, submittedAt, owner, run, tokens }: JobHeader, { stored }: Pick<KnownJob, 'stored'>): KnownJob {
  return { id, host, path, submittedAt, owner, run, tokensLeft: tokens, stored, closed: false }
}
