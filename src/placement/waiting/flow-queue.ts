import { compareClass } from './compare-class.js'
import { findLateTime } from './find-late-time.js'
import type { RankedRequest } from './ranked-request.js'
import { SortedList } from './sorted-list.js'

/**
 * Waiting requests of one flow in the order of `compareWaiting`. A rank changes only when a request becomes late, so two sorted lists
 * hold the order: a look-up takes logarithmic time, and a list is read whole only when a request has become late.
 */
export class FlowQueue<T extends RankedRequest> {
  readonly onTime = new SortedList<T>(compareArrival)
  readonly late = new SortedList<T>(compareArrival)
  /** Time after which the next request of `onTime` is late. */
  private nextLateAt = Infinity

  get length (): number {
    return this.onTime.length + this.late.length
  }

  /** Returns the request at a position of the order. */
  at (position: number): T | undefined {
    return this.onTime.at(position) ?? this.late.at(position - this.onTime.length)
  }

  add (request: T): void {
    this.nextLateAt = Math.min(this.nextLateAt, findLateTime(request))
    this.onTime.add(request)
  }

  /** Removes the request; returns whether it was in the queue. */
  remove (request: T): boolean {
    return this.onTime.remove(request) || this.late.remove(request)
  }

  /** Returns the position of the request in the order; -1 if it isn't in the queue. */
  findPosition (request: T): number {
    const index = this.onTime.findIndex(request)
    if (index >= 0) return index
    const lateIndex = this.late.findIndex(request)
    return lateIndex >= 0 ? this.onTime.length + lateIndex : -1
  }

  /** Moves the requests that have become late. */
  update (now: number): void {
    if (now <= this.nextLateAt) return
    const late = [...this.onTime].filter(request => now > findLateTime(request))
    for (const request of late) {
      this.onTime.remove(request)
      this.late.add(request)
    }
    this.nextLateAt = [...this.onTime].reduce((next, request) => Math.min(next, findLateTime(request)), Infinity)
  }
}

function compareArrival (a: RankedRequest, b: RankedRequest): number {
  return compareClass(a, b) || a.arrived - b.arrived
}
