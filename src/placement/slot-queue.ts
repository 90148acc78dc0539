import type { Refusal } from '../admission/refusal.js'
import type { Clock } from '../kernel/clock.js'
import type { Random } from '../kernel/random.js'
import type { Metrics } from '../observe/metrics.js'
import { choosePlace } from './choose-place.js'
import { compareWaiting } from './compare-waiting.js'
import { isLate } from './is-late.js'
import { LateShare } from './late-share.js'
import type { PlaceRequest } from './place-request.js'
import { planWait } from './plan-wait.js'
import type { ServerPlace } from './server-place.js'

/** Come back after this where no server is open, ms: the time in which a server starts or its entry comes back. */
const NO_SERVER_RETRY = 600
/** A refused caller's pause is spread by this share either way, so that a burst doesn't come back as one. */
const SPREAD = 0.5
/** How long before its caller leaves a late request may begin in any case, ms: some are found only when the next slot comes free. */
const PRESSED = 900
/** How often it is looked whether a late request may begin, ms. */
const LATE_PERIOD = 30

interface SlotQueueOptions {
  /** The places that the queue gives, as they are now. */
  readonly listPlaces: () => readonly ServerPlace[]
  /** Mean time that a request keeps its slot, ms. */
  readonly getStay: () => number
  readonly clock: Clock
  readonly random: Random
  readonly metrics: Metrics
}

interface Waiting extends PlaceRequest {
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
  private giving = false
  private givingSoon = false
  private readonly lateShare = new LateShare()
  /** When a caller was last refused here: one that first asked before that may be that one, whose target begins anew. */
  private refusedAt = -Infinity

  constructor (private readonly options: SlotQueueOptions) {}

  get length (): number {
    return this.queue.length
  }

  /** Calls `start` with a server at once or when a slot comes free, or `refuse` when that can't be in time. */
  request (request: PlaceRequest): void {
    const now = this.options.clock.now()
    const begun = request.asked > this.refusedAt ? request.asked : request.arrived
    const late = isLate({ begun, target: request.target }, now)
    if (!late) this.lateShare.recordFresh(now)
    const isFirst = this.queue.length === 0 && !late
    const place = isFirst ? this.choose(request, this.options.listPlaces()) : undefined
    if (place !== undefined) return request.start(place.server)
    this.wait({ ...request, begun })
    // Behind held late requests a slot may be free; one that came first has just found none.
    if (!isFirst) this.giveAll()
  }

  /** Gives what is free to those that wait. A request that starts changes the counts, which calls this again: only the outer call gives. */
  giveAll (): void {
    if (this.giving) return
    this.giving = true
    this.give()
    this.giving = false
  }

  private wait (request: PlaceRequest & Pick<Waiting, 'begun'>): void {
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
    const { listPlaces, clock } = this.options
    const places = listPlaces()
    if (places.length === 0 && !waiting.returning) return this.refuse('no server', NO_SERVER_RETRY, 'no server of the pool is open')
    const now = clock.now()
    const plan = planWait({
      ahead: this.queue.filter(other => other !== waiting && compareWaiting(other, waiting, now) < 0).length,
      interval: this.estimateInterval(places),
      stay: this.options.getStay(),
      waited: now - waiting.begun,
      target: waiting.target,
      left: waiting.deadline - now,
      beginWithin: waiting.beginBy - now,
      returning: waiting.returning
    })
    return plan.type === 'wait' ? plan.recheckAfter : this.refuse('overloaded', plan.retryAfter, `every slot is taken and ${this.queue.length - 1} wait`)
  }

  /** Mean time between two slots of all servers that come free, ms. */
  private estimateInterval (places: readonly ServerPlace[]): number {
    return this.options.getStay() / Math.max(1, countSlots(places))
  }

  private refuse (cause: Refusal['cause'], retryAfter: number, detail: string): Refusal {
    this.refusedAt = this.options.clock.now()
    return { cause, ran: 'not run', retryAfter: this.options.random.spread(retryAfter, SPREAD), detail }
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

  private mayBeginLate (now: number, places: readonly ServerPlace[]): boolean {
    const online = places.reduce((sum, place) => sum + Math.min(place.slots, place.online), 0)
    return this.lateShare.mayBegin(now, { slots: countSlots(places), online, stay: this.options.getStay() })
  }

  /** Only late requests wait, and none may begin yet. */
  private giveSoon (): void {
    if (this.givingSoon) return
    this.givingSoon = true
    this.options.clock.after(LATE_PERIOD, () => {
      this.givingSoon = false
      this.giveAll()
    })
  }

  private choose ({ key, avoided }: PlaceRequest, places: readonly ServerPlace[]): ServerPlace | undefined {
    return choosePlace(places, { random: this.options.random, key, avoided })
  }

  private give (): void {
    const { clock, listPlaces, metrics } = this.options
    while (this.queue.length > 0) {
      const now = clock.now()
      const waiting = this.queue.reduce((first, other) => compareWaiting(other, first, now) < 0 ? other : first)
      const late = isLate(waiting, now)
      const places = listPlaces()
      if (late && now < waiting.beginBy - PRESSED && !this.mayBeginLate(now, places)) return this.giveSoon()
      const place = this.choose(waiting, places)
      if (place === undefined) return
      if (late) this.lateShare.use(now)
      this.remove(waiting)
      metrics.observe('placement_wait_ms', now - waiting.since)
      waiting.start(place.server)
    }
  }
}

function countSlots (places: readonly ServerPlace[]): number {
  return places.reduce((sum, { slots }) => sum + slots, 0)
}
