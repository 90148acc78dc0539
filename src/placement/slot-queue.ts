import type { Refusal } from '../admission/refusal.js'
import type { Clock } from '../kernel/clock.js'
import type { Random } from '../kernel/random.js'
import type { Metrics } from '../observe/metrics.js'
import { chooseServer } from './choose-server.js'
import { compareWaiting } from './compare-waiting.js'
import { isLate } from './is-late.js'
import { LateLimiter } from './late-limiter.js'
import type { PlacementRequest } from './placement-request.js'
import { planWait } from './plan-wait.js'
import type { CandidateServer } from './candidate-server.js'

/** Come back after this where no server is open, ms: the time in which a server starts or its entry comes back. */
const NO_SERVER_RETRY_AFTER = 600
/** A refused caller's pause is spread by this share either way, so that a burst doesn't come back as one. */
const RETRY_JITTER = 0.5
/** How long before its caller leaves a late request may begin in any case, ms: some are found only when the next slot comes free. */
const LATE_START_MARGIN = 900
/** How often it is looked whether a late request may begin, ms. */
const LATE_RECHECK_PERIOD = 30

interface SlotQueueOptions {
  /** The places that the queue gives, as they are now. */
  readonly listCandidates: () => readonly CandidateServer[]
  /** Mean time that a request keeps its slot, ms. */
  readonly getHoldTime: () => number
  readonly clock: Clock
  readonly random: Random
  readonly metrics: Metrics
}

interface Waiting extends PlacementRequest {
  readonly since: number
  /** From when its target counts. */
  readonly begun: number
  readonly settle: () => void
}

/**
 * Where online requests wait for a slot of some servers: callers that come back first, then by priority, then by arrival. A
 * slot is given in the turn in which it comes free, and its request begins in the same turn.
 */
export class SlotQueue {
  private readonly queue: Waiting[] = []
  private isGranting = false
  private isGrantScheduled = false
  private readonly lateLimiter = new LateLimiter()
  /** When a caller was last refused here: one that first asked before that may be that one, whose target begins anew. */
  private refusedAt = -Infinity

  constructor (private readonly options: SlotQueueOptions) {}

  get length (): number {
    return this.queue.length
  }

  /** Calls `start` with a server at once or when a slot comes free, or `refuse` when that can't be in time. */
  request (request: PlacementRequest): void {
    const now = this.options.clock.now()
    const begun = request.asked > this.refusedAt ? request.asked : request.arrived
    const late = isLate({ begun, target: request.target }, now)
    if (!late) this.lateLimiter.recordOnTime(now)
    const isFirst = this.queue.length === 0 && !late
    const place = isFirst ? this.choose(request, this.options.listCandidates()) : undefined
    if (place !== undefined) return request.start(place.server)
    this.wait({ ...request, begun })
    // Behind held late requests a slot may be free; one that came first has just found none.
    if (!isFirst) this.grantAll()
  }

  /** Gives what is free to those that wait. A request that starts changes the counts, which calls this again: only the outer call gives. */
  grantAll (): void {
    if (this.isGranting) return
    this.isGranting = true
    this.grantFree()
    this.isGranting = false
  }

  private wait (request: PlacementRequest & Pick<Waiting, 'begun'>): void {
    let cancel = (): void => {}
    const onAbort = (): void => this.drop(waiting, { cause: 'deadline', ran: 'not run', retryAfter: 0, detail: 'it was given up while it waited' })
    const waiting: Waiting = {
      ...request,
      since: this.options.clock.now(),
      settle: () => {
        cancel()
        request.signal.removeEventListener('abort', onAbort)
      }
    }
    request.signal.addEventListener('abort', onAbort, { once: true })
    this.queue.push(waiting)
    const plan = (): void => {
      const next = this.plan(waiting)
      if (typeof next !== 'number') return this.drop(waiting, next)
      cancel = this.options.clock.after(next, plan)
    }
    plan()
  }

  /** A refusal, or ms after which to ask again. */
  private plan (waiting: Waiting): Refusal | number {
    const { listCandidates, clock } = this.options
    const candidates = listCandidates()
    if (candidates.length === 0 && !waiting.returning) return this.buildRefusal('no server', NO_SERVER_RETRY_AFTER, 'no server of the pool is open')
    const now = clock.now()
    const plan = planWait({
      ahead: this.queue.filter(other => other !== waiting && compareWaiting(other, waiting, now) < 0).length,
      interval: this.estimateInterval(candidates),
      holdTime: this.options.getHoldTime(),
      waited: now - waiting.begun,
      target: waiting.target,
      left: waiting.deadline - now,
      beginWithin: waiting.beginBy - now,
      returning: waiting.returning
    })
    return plan.type === 'wait' ? plan.recheckAfter : this.buildRefusal('overloaded', plan.retryAfter, `every slot is taken and ${this.queue.length - 1} wait`)
  }

  /** Mean time between two slots of all servers that come free, ms. */
  private estimateInterval (candidates: readonly CandidateServer[]): number {
    return this.options.getHoldTime() / Math.max(1, countSlots(candidates))
  }

  private buildRefusal (cause: Refusal['cause'], retryAfter: number, detail: string): Refusal {
    this.refusedAt = this.options.clock.now()
    return { cause, ran: 'not run', retryAfter: this.options.random.spread(retryAfter, RETRY_JITTER), detail }
  }

  private drop (waiting: Waiting, refusal: Refusal): void {
    if (!this.remove(waiting)) return
    waiting.refuse(refusal)
  }

  private remove (waiting: Waiting): boolean {
    const index = this.queue.indexOf(waiting)
    if (index < 0) return false
    this.queue.splice(index, 1)
    waiting.settle()
    return true
  }

  private mayStartLate (now: number, candidates: readonly CandidateServer[]): boolean {
    const online = candidates.reduce((sum, place) => sum + Math.min(place.slots, place.online), 0)
    return this.lateLimiter.mayStart(now, { slots: countSlots(candidates), online, holdTime: this.options.getHoldTime() })
  }

  /** Only late requests wait, and none may begin yet. */
  private scheduleGrant (): void {
    if (this.isGrantScheduled) return
    this.isGrantScheduled = true
    this.options.clock.after(LATE_RECHECK_PERIOD, () => {
      this.isGrantScheduled = false
      this.grantAll()
    })
  }

  private choose ({ key, avoided }: PlacementRequest, candidates: readonly CandidateServer[]): CandidateServer | undefined {
    return chooseServer(candidates, { random: this.options.random, key, avoided })
  }

  private grantFree (): void {
    const { clock, listCandidates, metrics } = this.options
    while (this.queue.length > 0) {
      const now = clock.now()
      const waiting = this.queue.reduce((first, other) => compareWaiting(other, first, now) < 0 ? other : first)
      const late = isLate(waiting, now)
      const candidates = listCandidates()
      if (late && now < waiting.beginBy - LATE_START_MARGIN && !this.mayStartLate(now, candidates)) return this.scheduleGrant()
      const place = this.choose(waiting, candidates)
      if (place === undefined) return
      if (late) this.lateLimiter.recordStart(now)
      this.remove(waiting)
      metrics.observe('placement_wait_ms', now - waiting.since)
      waiting.start(place.server)
    }
  }
}

function countSlots (candidates: readonly CandidateServer[]): number {
  return candidates.reduce((sum, { slots }) => sum + slots, 0)
}
