import type { Refusal } from '../refusal.js'
import type { FairQueueEvent } from './fair-queue-event.js'
import type { FairQueueState } from './fair-queue-state.js'
import { stepFairQueue } from './step-fair-queue.js'

/** Weight of the last request in the expected hold time. */
const COST_SMOOTHING = 0.05
/** Expected hold time before any request has ended, ms. */
const INITIAL_COST = 200

/** A waiting request. Times in monotonic ms. */
interface WaitingRequest {
  readonly caller: string
  readonly share: number
  readonly deadline: number
  /** Returns whether a server has a free slot for it. */
  readonly hasCapacity: () => boolean
  /** Admits it. */
  readonly start: (cost: number) => void
  readonly refuse: (cause: Refusal['cause'], retryAfter: number) => void
}

interface PoolQueueOptions {
  /** Maximum number of waiting requests. */
  readonly maxWaiting?: number
  /** Longest wait, ms. */
  readonly longestWait: () => number
}

type QueueEntry = WaitingRequest & { readonly cost: number }

/**
 * The requests of one pool that wait for a slot. A request that would not be admitted before its deadline or within the longest
 * wait is refused on arrival. When the queue is full, the last request of the caller furthest over its share is refused: a
 * caller that sends ten times its share fills the queue with its own requests, which would otherwise keep out those of others.
 */
export class PoolQueue {
  private state: FairQueueState = { virtualTime: 0, usedUntil: new Map(), waiting: [] }
  private readonly entries = new Map<number, QueueEntry>()
  private inFlight = 0
  private cost = INITIAL_COST
  private ids = 0

  constructor (private readonly options: PoolQueueOptions) {}

  /** Expected time for which a request holds its slot, ms. */
  get holdTime (): number {
    return this.cost
  }

  get size (): number {
    return this.state.waiting.length
  }

  /** Returns the number of waiting requests by caller. */
  countWaiting (): ReadonlyMap<string, number> {
    const counts = new Map<string, number>()
    for (const { caller } of this.state.waiting) counts.set(caller, (counts.get(caller) ?? 0) + 1)
    return counts
  }

  /** Records a request that is admitted without waiting. Returns the expected cost of its slot, ms. */
  admit (caller: string, share: number): number {
    this.inFlight++
    this.apply({ type: 'admitted', caller, share, cost: this.cost })
    return this.cost
  }

  /** Adds a request, and refuses it or another one at once if necessary. Returns a function that removes it. */
  add (waiting: WaitingRequest, now: number): () => void {
    const id = this.ids++
    this.entries.set(id, { ...waiting, cost: this.cost })
    this.apply({ type: 'queued', id, caller: waiting.caller, share: waiting.share, cost: this.cost })
    const ahead = this.state.waiting.findIndex(other => other.id === id)
    const wait = this.estimateWait(ahead + 1)
    if (wait > Math.min(this.options.longestWait(), waiting.deadline - now)) this.refuse(id, 'overloaded')
    else if (this.size > (this.options.maxWaiting ?? 256)) this.refuse(this.state.waiting.at(-1)!.id, 'overloaded')
    return () => this.drop(id)
  }

  /** Returns the request to admit next. */
  peek (): WaitingRequest | undefined {
    const first = this.state.waiting[0]
    return first && this.entries.get(first.id)
  }

  /** Admits the first request. */
  take (): void {
    const first = this.state.waiting[0]
    if (first === undefined) return
    const { start, cost } = this.entries.get(first.id)!
    this.apply({ type: 'taken' })
    this.entries.delete(first.id)
    this.inFlight++
    start(cost)
  }

  /** Corrects the charge of a caller whose slot was held for `time` ms instead of `cost`. */
  settle (caller: string, share: number, { cost, time }: { readonly cost: number, readonly time: number }): void {
    this.inFlight--
    this.cost += (time - this.cost) * COST_SMOOTHING
    this.apply({ type: 'held', caller, share, excess: time - cost })
  }

  /** Refuses a request that still waits. */
  refuse (id: number, cause: Refusal['cause']): void {
    const entry = this.entries.get(id)
    this.drop(id)
    entry?.refuse(cause, this.estimateWait(this.size + 1))
  }

  /**
   * Estimates the time until `ahead` more requests are admitted, ms: each slot in use becomes free after the expected hold time
   * (Little's law).
   */
  estimateWait (ahead: number): number {
    return ahead * this.cost / Math.max(1, this.inFlight)
  }

  private drop (id: number): void {
    const entry = this.entries.get(id)
    if (entry === undefined) return
    this.entries.delete(id)
    this.apply({ type: 'dropped', id, share: entry.share, cost: entry.cost })
  }

  private apply (event: FairQueueEvent): void {
    this.state = stepFairQueue(this.state, event)
  }
}
