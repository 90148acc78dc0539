import type { QueuedRequest } from './queued-request.js'

/** The waiting requests of one pool and what each caller has had. Virtual time is ms of a place over a share. */
export interface FairQueueState {
  /** Start of the request let in last. */
  readonly virtualTime: number
  /** By caller: virtual time up to which its share is used. */
  readonly usedUntil: ReadonlyMap<string, number>
  /** In the order in which they are let in. */
  readonly waiting: readonly QueuedRequest[]
}
