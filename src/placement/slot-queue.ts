import type { Refusal } from '../admission/refusal.js'
import type { Clock } from '../kernel/clock.js'
import type { Random } from '../kernel/random.js'
import type { Metrics } from '../observe/metrics.js'
import type { CandidateServer } from './candidate-server.js'
import { chooseCandidate } from './choose-candidate.js'
import { countSlots } from './count-slots.js'
import { filterUsable } from './filter-usable.js'
import { givenUpRefusal } from './given-up-refusal.js'
import { LateLimiter } from './late-limiter.js'
import type { PlacementRequest } from './placement-request.js'
import { planWait } from './plan-wait.js'
import { FairShares } from './shares/fair-shares.js'
import { mayLend } from './shares/may-lend.js'
import { isLate } from './waiting/is-late.js'
import type { RankedRequest } from './waiting/ranked-request.js'
import { WaitingList } from './waiting/waiting-list.js'

/** Delay before the retry of a caller refused for lack of a server, ms: about the time in which a server starts or registers again. */
const NO_SERVER_RETRY_AFTER = 600
/** Jitter of that delay, as a share either way. */
const NO_SERVER_JITTER = 0.5
/** Span over which the retries of callers refused for overload are spread, as a multiple of their target time, so that a burst isn't retried as a burst. */
const RETRY_SPREAD_TARGETS = 2.5
/** A late request this close to its caller's timeout, ms, is no longer held back; it may still have to wait for the next free slot. */
const LATE_START_MARGIN = 900
/** Size of requests while none of the pool has told its own. */
const DEFAULT_SIZE = 1
/** Interval at which held late requests are checked again, ms. */
const LATE_RECHECK_PERIOD = 30

interface SlotQueueOptions {
  /** Returns the servers that the queue grants slots of, with their current counts. */
  readonly listCandidates: () => readonly CandidateServer[]
  /** Returns the servers that are too slow for requests which may run elsewhere; none by default. */
  readonly listSlow?: () => readonly CandidateServer[]
  /** Whether a live server has the version. */
  readonly hasVersion?: (version: string) => boolean
  /** Returns the mean slot hold time, ms. */
  readonly getHoldTime: () => number
  /** Returns the mean size of the requests that have that hold time; undefined if unknown. */
  readonly getMeanSize?: () => number | undefined
  /** Returns the share of a caller; undefined where callers have no shares. */
  readonly findShare?: (caller: string) => number | undefined
  readonly clock: Clock
  readonly random: Random
  readonly metrics: Metrics
}

interface Waiting extends Omit<PlacementRequest, 'size'>, RankedRequest {
  readonly since: number
  readonly settle: () => void
}

/**
 * Queue of online requests that wait for a slot of a set of servers, ordered as `compareWaiting` says. A slot is granted and its
 * request started in the same event-loop turn in which the slot becomes free.
 */
export class SlotQueue {
  private readonly shares = new FairShares(flow => this.options.findShare?.(flow) ?? 1)
  private readonly queue = new WaitingList<Waiting>(this.shares)
  private isGranting = false
  private isGrantScheduled = false
  private readonly lateLimiter = new LateLimiter()
  /** Time of the last refusal. A retry whose first attempt is older may have been refused then, so its target time starts anew. */
  private refusedAt = -Infinity

  constructor (private readonly options: SlotQueueOptions) {}

  get length (): number {
    return this.queue.length
  }

  /** Counts the waiting requests that may run at a server of one of the versions. */
  countWaiting (versions: ReadonlySet<string>): number {
    return [...this.queue.all()].filter(({ version }) => version === undefined ? versions.size > 0 : versions.has(version)).length
  }

  /** Calls the request's `start` with a server as soon as it has a slot, or its `refuse` if that can't be in time. */
  request (asked: PlacementRequest): void {
    const request = { ...asked, size: asked.size ?? this.options.getMeanSize?.() ?? DEFAULT_SIZE }
    const now = this.options.clock.now()
    const targetStart = request.asked > this.refusedAt ? request.asked : request.arrived
    const late = isLate({ targetStart, target: request.target }, now)
    if (!late) this.lateLimiter.recordOnTime(now)
    const isFirst = this.queue.length === 0 && !late
    const flow = this.findFlow(request)
    const candidates = isFirst ? this.options.listCandidates() : []
    const usable = isFirst ? this.listUsable(candidates, request) : []
    const chosen = this.isWithheld(flow, request, candidates) ? undefined : this.choose(request, usable)
    if (chosen !== undefined) {
      this.shares.recordStart(flow, request.size)
      return request.start(chosen.server)
    }
    this.wait({ ...request, targetStart, flow, isShareUsed: flow === '' || this.shares.isUsed(flow) })
    // Slots can be free while late requests are held back. If this request was first in line, none is.
    if (!isFirst) this.grantAll()
  }

  /** Grants the free slots to waiting requests. Starting one changes the counts, which calls this again; nested calls do nothing. */
  grantAll (): void {
    if (this.isGranting) return
    this.isGranting = true
    this.grantFree()
    this.isGranting = false
  }

  /** Forgets callers without a claim; returns how many are left. */
  dropIdleShares (): number {
    return this.shares.dropIdle()
  }

  private findFlow ({ caller = '' }: PlacementRequest): string {
    return this.options.findShare?.(caller) === undefined ? '' : caller
  }

  /** Whether free slots are kept for callers below their share. */
  private isWithheld (flow: string, { size }: Pick<RankedRequest, 'size'>, candidates: readonly CandidateServer[]): boolean {
    if (flow === '' || !this.shares.isUsed(flow)) return false
    const slots = countSlots(candidates)
    return !mayLend({ size, meanSize: this.options.getMeanSize?.() ?? size, free: slots - countOnline(candidates), slots })
  }

  private wait (request: PlacementRequest & RankedRequest): void {
    let cancel = (): void => {}
    const onAbort = (): void => this.drop(waiting, givenUpRefusal)
    const waiting: Waiting = {
      ...request,
      since: this.options.clock.now(),
      settle: () => {
        cancel()
        request.signal.removeEventListener('abort', onAbort)
      }
    }
    request.signal.addEventListener('abort', onAbort, { once: true })
    this.queue.add(waiting)
    const plan = (): void => {
      const next = this.plan(waiting)
      if (typeof next !== 'number') return this.drop(waiting, next)
      cancel = this.options.clock.after(next, plan)
    }
    plan()
  }

  /** Returns a refusal, or the time until the next check, ms. */
  private plan (waiting: Waiting): Refusal | number {
    const { listCandidates, clock, random } = this.options
    if (waiting.version !== undefined && this.options.hasVersion?.(waiting.version) === false) return this.buildRefusal('no server', random.spread(NO_SERVER_RETRY_AFTER, NO_SERVER_JITTER), `no server has version ${waiting.version}`)
    const all = listCandidates()
    const candidates = this.listUsable(all, waiting)
    if (candidates.length === 0 && !waiting.returning) return this.buildRefusal('no server', random.spread(NO_SERVER_RETRY_AFTER, NO_SERVER_JITTER), 'no server of the pool is open')
    const now = clock.now()
    const plan = planWait({
      ahead: this.estimateAhead(waiting, countSlots(candidates.filter(candidate => all.includes(candidate))) / Math.max(1, countSlots(all))),
      interval: this.estimateInterval(candidates),
      holdTime: this.options.getHoldTime(),
      waited: now - waiting.targetStart,
      target: waiting.target,
      left: waiting.deadline - now,
      beginWithin: waiting.beginBy - now,
      returning: waiting.returning
    })
    if (plan.type === 'wait') return plan.recheckAfter
    const retryAfter = plan.retryAfter + random.below(RETRY_SPREAD_TARGETS * waiting.target)
    return this.buildRefusal('overloaded', retryAfter, `every slot is taken and ${this.queue.length - 1} wait${showShare(waiting)}`)
  }

  /** Estimates how many requests of mean size take slots before `waiting` that it could have, `part` of all slots. */
  private estimateAhead (waiting: Waiting, part: number): number {
    const now = this.options.clock.now()
    const ahead = this.queue.estimateAhead(waiting, now)
    const { meanSize } = this.queue
    const sizeRatio = meanSize / (this.options.getMeanSize?.() ?? meanSize)
    if (waiting.version === undefined) return ahead * sizeRatio
    return [...this.queue.list(now)].slice(0, ahead).reduce((sum, other) => sum + estimateUse(other, waiting.version, part), 0) * sizeRatio
  }

  /** Estimates the mean time between two slots of any server that become free, ms. */
  private estimateInterval (candidates: readonly CandidateServer[]): number {
    return this.options.getHoldTime() / Math.max(1, countSlots(candidates))
  }

  private buildRefusal (cause: Refusal['cause'], retryAfter: number, detail: string): Refusal {
    this.refusedAt = this.options.clock.now()
    return { cause, ran: 'not run', retryAfter, detail }
  }

  private drop (waiting: Waiting, refusal: Refusal): void {
    if (!this.remove(waiting)) return
    this.countWaited(waiting, 'refused')
    waiting.refuse(refusal)
  }

  private remove (waiting: Waiting): boolean {
    if (!this.queue.remove(waiting)) return false
    waiting.settle()
    return true
  }

  /** Counts what became of a request that had to wait, by the caller whose share it used. */
  private countWaited ({ flow }: Waiting, outcome: 'granted' | 'granted late' | 'refused'): void {
    if (flow !== '') this.options.metrics.count('shared_slots_total', { caller: flow, outcome })
  }

  private mayStartLate (now: number, candidates: readonly CandidateServer[]): boolean {
    return this.lateLimiter.mayStart(now, { slots: countSlots(candidates), online: countOnline(candidates), holdTime: this.options.getHoldTime() })
  }

  /** Schedules the next check while only late requests wait and none may start yet. */
  private scheduleGrant (): void {
    if (this.isGrantScheduled) return
    this.isGrantScheduled = true
    this.options.clock.after(LATE_RECHECK_PERIOD, () => {
      this.isGrantScheduled = false
      this.grantAll()
    })
  }

  private choose ({ key, avoided, repeatable }: PlacementRequest, usable: readonly CandidateServer[]): CandidateServer | undefined {
    return chooseCandidate(usable, { random: this.options.random, key, avoided, repeatable })
  }

  /**
   * Returns the candidates that may run a request. Where only slow servers have its version, those are usable: the request can run nowhere
   * else, and late is better than refused.
   */
  private listUsable (candidates: readonly CandidateServer[], request: Pick<PlacementRequest, 'version' | 'excluded'>): readonly CandidateServer[] {
    const { version } = request
    const isUsual = version === undefined || candidates.some(candidate => candidate.version === version)
    return filterUsable(isUsual ? candidates : this.options.listSlow?.() ?? [], request)
  }

  private grantFree (): void {
    while (this.queue.length > 0 && this.grantNext()) continue
  }

  /** Grants a slot to the first request in order that can have one; those that may not use the free ones are passed over. Returns whether it did. */
  private grantNext (): boolean {
    const { clock, listCandidates, metrics } = this.options
    const now = clock.now()
    const candidates = listCandidates()
    for (const waiting of this.queue.list(now)) {
      const late = isLate(waiting, now)
      if (late && now < waiting.beginBy - LATE_START_MARGIN && !this.mayStartLate(now, candidates)) {
        this.scheduleGrant()
        return false
      }
      if (this.isWithheld(waiting.flow, waiting, candidates)) continue
      const chosen = this.choose(waiting, this.listUsable(candidates, waiting))
      if (chosen === undefined && waiting.version === undefined && waiting.excluded === undefined) return false
      if (chosen === undefined) continue
      if (late) this.lateLimiter.recordStart(now)
      this.remove(waiting)
      this.shares.recordStart(waiting.flow, waiting.size)
      metrics.observe('placement_wait_ms', now - waiting.since)
      this.countWaited(waiting, late ? 'granted late' : 'granted')
      waiting.start(chosen.server)
      return true
    }
    return false
  }
}

function showShare ({ flow, isShareUsed }: Waiting): string {
  if (flow === '') return ''
  return isShareUsed ? `; ${flow} had its share` : `; ${flow} was below its share`
}

/** Estimates the share of a slot that `other` takes of those with the version, which are `part` of all slots. */
function estimateUse ({ version: other }: PlacementRequest, version: string | undefined, part: number): number {
  if (other === version) return 1
  return other === undefined ? part : 0
}

function countOnline (candidates: readonly CandidateServer[]): number {
  return candidates.reduce((sum, { slots, online }) => sum + Math.min(slots, online), 0)
}
