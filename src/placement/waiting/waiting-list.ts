import type { FairShares } from '../shares/fair-shares.js'
import { compareClass } from './compare-class.js'
import { FlowQueue } from './flow-queue.js'
import { isLate } from './is-late.js'
import type { RankedRequest } from './ranked-request.js'

/** A flow while its requests are merged into one order. */
interface MergedFlow<T extends RankedRequest> {
  readonly flow: string
  readonly queue: FlowQueue<T>
  /** Requests that are in the order already. */
  position: number
  /** Start of the next one in virtual time. */
  start: number
}

/**
 * Waiting requests of all flows. Those on time go first, then those of a better class, then those of the flow that has had less of its
 * share, then earlier ones. A grant or an estimate takes time proportional to the number of flows, and logarithmic in the requests.
 */
export class WaitingList<T extends RankedRequest> {
  private readonly flows = new Map<string, FlowQueue<T>>()
  private count = 0
  private totalSize = 0

  constructor (private readonly shares: Pick<FairShares, 'findStart' | 'estimateLength'>) {}

  get length (): number {
    return this.count
  }

  /** Mean size of the requests. */
  get meanSize (): number {
    return this.count === 0 ? 0 : this.totalSize / this.count
  }

  add (request: T): void {
    const queue = this.flows.get(request.flow) ?? new FlowQueue<T>()
    this.flows.set(request.flow, queue)
    queue.add(request)
    this.count++
    this.totalSize += request.size
  }

  /** Removes the request; returns whether it was in the list. */
  remove (request: T): boolean {
    const queue = this.flows.get(request.flow)
    if (queue === undefined || !queue.remove(request)) return false
    if (queue.length === 0) this.flows.delete(request.flow)
    this.count--
    this.totalSize -= request.size
    return true
  }

  /** Lists the requests in no order. */
  * all (): Iterable<T> {
    for (const { onTime, late } of this.flows.values()) {
      yield * onTime
      yield * late
    }
  }

  /** Lists the requests in order, as if each got a slot in turn. */
  * list (now: number): Iterable<T> {
    const flows = [...this.flows].map(([flow, queue]): MergedFlow<T> => ({ flow, queue, position: 0, start: this.shares.findStart(flow) }))
    for (const { queue } of flows) queue.update(now)
    for (;;) {
      const next = this.findFirst(flows, now)
      const request = next?.queue.at(next.position)
      if (next === undefined || request === undefined) return
      yield request
      next.position++
      next.start += this.shares.estimateLength(next.flow, request.size)
    }
  }

  /** Estimates how many requests go before `request`, taking those of each flow for equally large. */
  estimateAhead (request: T, now: number): number {
    for (const queue of this.flows.values()) queue.update(now)
    const position = this.flows.get(request.flow)?.findPosition(request) ?? 0
    const start = this.shares.findStart(request.flow) + this.shares.estimateLength(request.flow, this.meanSize) * position
    let ahead = position
    for (const [flow, queue] of this.flows) if (flow !== request.flow) ahead += this.estimateAheadOf(request, { flow, queue, start, late: isLate(request, now) })
    return ahead
  }

  /** Estimates how many requests of another flow start before the virtual time `start` of `request` or are of a better class. */
  private estimateAheadOf (request: T, { flow, queue, start, late }: { readonly flow: string, readonly queue: FlowQueue<T>, readonly start: number, readonly late: boolean }): number {
    const peers = late ? queue.late : queue.onTime
    const before = late ? queue.onTime.length : 0
    const better = before + peers.countBefore(request, compareClass)
    const equal = before + peers.countUpTo(request, compareClass)
    const due = Math.ceil(Math.max(0, start - this.shares.findStart(flow)) / this.shares.estimateLength(flow, this.meanSize))
    return Math.min(equal, Math.max(better, due))
  }

  private findFirst (flows: ReadonlyArray<MergedFlow<T>>, now: number): MergedFlow<T> | undefined {
    let first: MergedFlow<T> | undefined
    for (const flow of flows) {
      if (flow.position < flow.queue.length && (first === undefined || compareFlows(flow, first, now) < 0)) first = flow
    }
    return first
  }
}

function compareFlows<T extends RankedRequest> (a: MergedFlow<T>, b: MergedFlow<T>, now: number): number {
  const [first, second] = [a.queue.at(a.position)!, b.queue.at(b.position)!]
  return Number(isLate(first, now)) - Number(isLate(second, now)) || compareClass(first, second) || a.start - b.start || first.arrived - second.arrived
}
