import type { QueuedRequest } from './queued-request.js'

/** The waiting requests of one pool, and what each caller has used. Virtual time is slot time in ms divided by the share. */
export interface FairQueueState {
  /** Start of the last request admitted. */
  readonly virtualTime: number
  /** By caller: virtual time until which its share is used. */
  readonly usedUntil: ReadonlyMap<string, number>
  /** In the order of admission. */
  readonly waiting: readonly QueuedRequest[]
}
