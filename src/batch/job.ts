import type { Counts } from './counts.js'
import type { ServiceChunks } from './chunks/service-chunks.js'

/** A batch job, stored as `job/ID`. */
export interface Job {
  readonly id: string
  readonly caller: string
  readonly file: string
  readonly endpoint: string
  /** Wall-clock ms. */
  readonly created: number
  readonly due: number
  readonly items: number
  /** Chunks by service; chunk numbers count through all services in this order. */
  readonly services: readonly ServiceChunks[]
  readonly status: 'in_progress' | 'completed' | 'cancelling' | 'cancelled'
  /** Wall-clock ms at which its cancellation was accepted. */
  readonly cancelled?: number
  /** Counts of each finished chunk, by its number. */
  readonly finished: Readonly<Record<string, Counts>>
  /** Wall-clock ms at which its last item ended. */
  readonly ended?: number
  /** The daemon process that recorded the end of the job, and counts the job for the account. */
  readonly endedBy?: { readonly instance: string, readonly started: number }
  /** Wall-clock ms at which its results were first read completely. */
  readonly read?: number
  /** Identifies the request that created the job, so that its items are counted once even after a lost reply. */
  readonly acceptance: string
  readonly metadata?: Readonly<Record<string, string>>
}
