import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Route } from '../../config/route.js'
import type { Clock } from '../../kernel/clock.js'
import { tokens } from '../../kernel/tokens.js'
import { findLatestStart } from './find-latest-start.js'
import { RunTimes } from './run-times.js'

/** Longest time of a call about a job: a read waits 1 s, and the store or the job's owner answers. */
const JOB_CALL_TIME = 2_000

/** A caller's request, as far as it tells when it ends. */
interface EndingRequest {
  /** Absent for calls about jobs. */
  readonly route?: Route
  /** Monotonic ms. */
  readonly deadline: number
}

/** The planned end of this process: which requests may still start, and when those in progress are given up. */
@scoped(Lifecycle.ContainerScoped)
export class Ending {
  readonly times = new RunTimes()
  private endsAt: number | undefined
  private readonly onBegin = new Set<() => void>()
  private readonly onEnd = new Set<() => void>()

  constructor (@inject(tokens.clock) private readonly clock: Pick<Clock, 'now' | 'after'>) {}

  /** Begins the end: requests that aren't known to be done by `endsAt`, monotonic ms, don't start from here on. */
  begin (endsAt: number): void {
    this.endsAt = endsAt
    for (const listener of [...this.onBegin]) listener()
  }

  /** Gives up the requests in progress. */
  finish (): void {
    for (const listener of [...this.onEnd]) listener()
  }

  /** Whether the request would be cut if it started now. */
  isTooLate (request: EndingRequest): boolean {
    return this.clock.now() > this.findLatestStart(request)
  }

  /** Calls `listener` once, as soon as it is too late for the request to start, until the returned function is called. */
  watchStart (request: EndingRequest, listener: () => void): () => void {
    let cancel = (): void => {}
    const plan = (): void => {
      const latest = this.findLatestStart(request)
      if (latest < Infinity) cancel = this.clock.after(Math.max(0, latest - this.clock.now()), listener)
    }
    this.onBegin.add(plan)
    plan()
    return () => {
      cancel()
      this.onBegin.delete(plan)
    }
  }

  /** Calls `listener` when the requests in progress are given up, until the returned function is called. */
  watchEnd (listener: () => void): () => void {
    this.onEnd.add(listener)
    return () => this.onEnd.delete(listener)
  }

  private findLatestStart ({ route, deadline }: EndingRequest): number {
    const { endsAt } = this
    const isJobCall = route === undefined || route.jobs !== undefined
    if (isJobCall) return findLatestStart({ endsAt, deadline: Infinity, longest: JOB_CALL_TIME, repeatable: true })
    return findLatestStart({ endsAt, deadline, longest: this.times.findLongest(route), repeatable: route.idempotent })
  }
}
