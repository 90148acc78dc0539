import type { Counts } from './counts.js'
import type { ServiceChunks } from './service-chunks.js'

/** A batch job as the platform keeps it, in the object `job/ID`. */
export interface Job {
  readonly id: string
  readonly caller: string
  readonly file: string
  readonly endpoint: string
  /** Wall-clock ms. */
  readonly created: number
  readonly due: number
  readonly items: number
  /** Its chunks, each of one service, in the order of their numbers. */
  readonly services: readonly ServiceChunks[]
  readonly status: 'in_progress' | 'completed' | 'cancelling' | 'cancelled'
  /** Wall-clock ms at which its cancelling was accepted. */
  readonly cancelled?: number
  /** Counts of each finished chunk, by its number. */
  readonly finished: Readonly<Record<string, Counts>>
  /** Wall-clock ms at which its last item ended. */
  readonly ended?: number
  /** The run of a daemon that ended it, which counts it for the account. */
  readonly endedBy?: { readonly instance: string, readonly started: number }
  /** Wall-clock ms at which its results had first been read whole. */
  readonly read?: number
  /** Names the request that created it, so that a lost reply doesn't count its items twice. */
  readonly acceptance: string
  readonly metadata?: Readonly<Record<string, string>>
}
