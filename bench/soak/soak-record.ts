import type { Disturbance } from './disturbance.js'
import type { ObservedRun } from './observed-run.js'
import type { SentJob } from './sent-job.js'
import type { SentRequest } from './sent-request.js'
import type { SentVersion } from './sent-version.js'

/** All that was seen from outside in one soak. Times in ms since its begin. */
export interface SoakRecord {
  readonly requests: readonly SentRequest[]
  readonly runs: readonly ObservedRun[]
  readonly jobs: readonly SentJob[]
  /** Configurations as they were confirmed. */
  readonly versions: readonly SentVersion[]
  /** Engines that said that they leave. */
  readonly leaving: ReadonlyArray<{ readonly engine: string, readonly at: number }>
  readonly harmed: readonly Disturbance[]
  /** Daemons that ended by themselves, and what they wrote. */
  readonly exits: readonly string[]
}
