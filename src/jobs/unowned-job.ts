import type { KnownJob } from './registry/known-job.js'
import type { UnownedReason } from './unowned-reason.js'

/** An open job that no live daemon runs, as far as this daemon knows. */
export interface UnownedJob {
  readonly job: KnownJob
  readonly reason: UnownedReason
  /** When it was first found without an owner, monotonic ms. */
  readonly since: number
}
