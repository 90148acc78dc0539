import type { KnownJob } from './registry/known-job.js'

/** A process of a daemon that owns a job. */
export type OwnerProcess = Pick<KnownJob, 'owner' | 'run'>
