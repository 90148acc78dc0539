import type { Disturbance } from './disturbance.js'
import type { ObservedRun } from './observed-run.js'
import type { SentJob } from './sent-job.js'
import type { SentRequest } from './sent-request.js'
import type { SentVersion } from './sent-version.js'

/** What callers, engines and the harness observed in one soak. Times in ms since its start. */
export interface SoakRecord {
  readonly requests: readonly SentRequest[]
  readonly runs: readonly ObservedRun[]
  readonly jobs: readonly SentJob[]
  /** Configurations in the order in which the store confirmed them. */
  readonly versions: readonly SentVersion[]
  /** Engines that were registered as draining, from `at` until a restarted one was registered as ready. */
  readonly leaving: ReadonlyArray<{ readonly engine: string, readonly at: number, readonly until: number }>
  readonly harmed: readonly Disturbance[]
  /** Times in which connections to an engine were reset. */
  readonly resets: ReadonlyArray<{ readonly engine: string, readonly from: number, readonly to: number }>
  /** Times in which the soak's process, and with it callers, relays, servers and the store, did nothing. */
  readonly standstills: ReadonlyArray<{ readonly from: number, readonly to: number }>
  /** Unexpected exits of daemons, each with the end of its error output. */
  readonly exits: readonly string[]
  /** When load and troubles had ended, and when the last jobs were waited for; each job is then read at every daemon. */
  readonly calmFrom: number
  readonly endedAt: number
}
