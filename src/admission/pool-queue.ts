import type { Refusal } from './refusal.js'
import type { FairQueueEvent } from './fair-queue-event.js'
import type { FairQueueState } from './fair-queue-state.js'
import { stepFairQueue } from './step-fair-queue.js'

const COST_SMOOTHING = 0.05
/** Expected time of a place before any was held, ms. */
const INITIAL_COST = 200

/** A request that waits, as the queue knows it. Times in monotonic ms. */
interface WaitingRequest {
  readonly caller: string
  readonly share: number
  readonly deadline: number
  /** Whether there is a place for it now. */
  readonly hasCapacity: () => boolean
  /** Lets it in. */
  readonly start: (cost: number) => void
  readonly refuse: (cause: Refusal['cause'], retryAfter: number) => void
}

interface PoolQueueOptions {
  /** Requests that may wait at once. */
  readonly capacity?: number
  /** Longest wait, ms. */
  readonly longestWait: () => number
}

type QueueEntry = WaitingRequest & { readonly cost: number }

/**
 * The requests of one pool that wait for a place. One that wouldn't be let in before its deadline or within the
 * longest wait is refused as it comes, and so is the last of the caller furthest over its share once the queue is
 * full: a caller that sends ten times its share fills the queue with its own requests, which would otherwise keep
 * those of others out.
 */
export class PoolQueue {
  private state: FairQueueState = { virtualTime: 0, usedUntil: new Map(), waiting: [] }
  private readonly entries = new Map<number, QueueEntry>()
  private inFlight = 0
  private cost = INITIAL_COST
  private ids = 0

  constructor (private readonly options: PoolQueueOptions) {}

  /** Expected time of a place, ms. */
  get holdTime (): number {
    return this.cost
  }

  get size (): number {
    return this.state.waiting.length
  }

  /** By caller: requests that wait. */
  countWaiting (): ReadonlyMap<string, number> {
    const counts = new Map<string, number>()
    for (const { caller } of this.state.waiting) counts.set(caller, (counts.get(caller) ?? 0) + 1)
    return counts
  }

  /** Counts a request that is let in without a wait; gives back what its place is expected to cost. */
  admit (caller: string, share: number): number {
    this.inFlight++
    this.apply({ type: 'admitted', caller, share, cost: this.cost })
    return this.cost
  }

  /** Puts the request in, or refuses it or another one at once. The function it gives back takes it out. */
  add (waiting: WaitingRequest, now: number): () => void {
    const id = this.ids++
    this.entries.set(id, { ...waiting, cost: this.cost })
    this.apply({ type: 'queued', id, caller: waiting.caller, share: waiting.share, cost: this.cost })
    const ahead = this.state.waiting.findIndex(other => other.id === id)
    const wait = this.estimateWait(ahead + 1)
    if (wait > Math.min(this.options.longestWait(), waiting.deadline - now)) this.refuse(id, 'overloaded')
    else if (this.size > (this.options.capacity ?? 256)) this.refuse(this.state.waiting.at(-1)!.id, 'overloaded')
    return () => this.drop(id)
  }

  /** The request to let in next. */
  peek (): WaitingRequest | undefined {
    const first = this.state.waiting[0]
    return first && this.entries.get(first.id)
  }

  /** Lets the first request in. */
  take (): void {
    const first = this.state.waiting[0]
    if (first === undefined) return
    const { start, cost } = this.entries.get(first.id)!
    this.apply({ type: 'taken' })
    this.entries.delete(first.id)
    this.inFlight++
    start(cost)
  }

  /** Corrects what a caller is charged once its place was held for `time` ms rather than `cost`. */
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

  /** Time until that many more are let in, ms: places in use, each given back after its usual time (Little's law). */
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
