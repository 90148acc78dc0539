import type { JobHeader } from '../job-header.js'
import type { KnownJob } from './known-job.js'

/** Builds a registry entry from a job's header; `stored` tells whether the items are known to be stored as well. */
export function readKnownJob (id: string, { host, path, route, caller, submittedAt, owner, run, tokens }: JobHeader, { stored }: Pick<KnownJob, 'stored'>): KnownJob {
  return { id, host, path, ...route !== undefined && { route }, ...caller !== undefined && { caller }, submittedAt, owner, run, tokensLeft: tokens, stored, closed: false }
}
