import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Random } from '../kernel/random.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import { Metrics } from '../observe/metrics.js'
import { Members } from '../peers/members.js'
import { BatchBids } from './batch-bids.js'
import type { LoadReport } from './load-report.js'
import { planBatch } from './plan-batch.js'
import { ServerLoads } from './server-loads.js'
import type { CandidateServer } from './candidate-server.js'
import type { SlotResponse } from './slot-response.js'
import type { SlotRequest } from './slot-request.js'
import { SlotLedger } from './slot-ledger.js'
import { SlotMap } from './slot-map.js'
import { SlotQueue } from './slot-queue.js'
import { SlotHoldTimes } from './slot-hold-times.js'

/** How often what has grown old is dropped, and slots are looked for that a server's return or a lapsed grant freed, ms. */
const CHECK_PERIOD = 500

type OnlineRequest = Extract<SlotRequest, { work: 'online' }>
type Send = (daemon: string, answer: SlotResponse) => void

interface IdleServer { readonly server: string, readonly start: number }

interface GroupState {
  readonly pool: string
  readonly group: number
  readonly queue: SlotQueue
  readonly bids: BatchBids
}

/**
 * Gives the slots of the server groups that fall to this daemon, to all daemons. Where each placed by the counts that the others
 * told it, those were old by the time in which a burst brings two requests for each server; what was too much waited in the engines, in
 * no order of ours. One that gives out each slot knows them all, and has one queue for its group.
 *
 * Two daemons may hold themselves for the broker of a group while membership spreads; servers then get more than they have slots
 * for, as with told counts, until it has. A broker that ended is replaced by the next in rank, which learns from the
 * daemons' rows within a second what is taken.
 */
@scoped(Lifecycle.ContainerScoped)
export class SlotBroker implements Part {
  private readonly ledger = new SlotLedger()
  private readonly groups = new Map<string, GroupState>()
  /** Online requests that wait here, by daemon and number. */
  private readonly waiting = new Map<string, AbortController>()
  /** By daemon: the run in which it asked or told first. */
  private readonly runs = new Map<string, number>()
  private send: Send = () => {}
  private cancel = (): void => {}

  constructor (
    @inject(tokens.settings) private readonly settings: Pick<Settings, 'instance'>,
    @inject(ServerLoads) private readonly loads: ServerLoads,
    @inject(Members) private readonly members: Members,
    @inject(SlotMap) private readonly map: SlotMap,
    @inject(SlotHoldTimes) private readonly holdTimes: SlotHoldTimes,
    @inject(Metrics) private readonly metrics: Metrics,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(tokens.random) private readonly random: Random
  ) {
    metrics.gauge('slot_counts_age_ms', () => this.readCountsAge())
  }

  async start (): Promise<void> {
    this.members.subscribe(() => this.dropEndedDaemons())
    this.cancel = this.clock.every(CHECK_PERIOD, () => {
      if (this.groups.size === 0) return
      this.ledger.dropExpired(this.clock.now())
      this.grantAll()
    })
  }

  async stop (): Promise<void> {
    this.cancel()
  }

  /** Says how answers reach their daemons. */
  setSend (send: Send): void {
    this.send = send
  }

  /** Answers a daemon's question, now or when a slot comes free. */
  handleRequest (daemon: string, request: SlotRequest): void {
    this.recordRun(daemon)
    const state = this.findGroupState(request.pool, request.group)
    if (request.work === 'online') return this.grantOnline(daemon, state, request)
    const now = this.clock.now()
    const { count, avoided, dueIn, remaining } = request
    state.bids.put({ daemon, count, avoided, due: now + dueIn, remaining, at: now })
    this.grantBatch(state)
  }

  /** The daemon doesn't want the slot any more. */
  cancelRequest (daemon: string, requestId: number): void {
    this.waiting.get(`${daemon} ${requestId}`)?.abort()
  }

  /** Takes what a daemon has in flight, with all that it was told up to `seen`. */
  applyReport (daemon: string, report: LoadReport, seen: number): void {
    this.recordRun(daemon)
    this.ledger.put(daemon, report, seen, this.clock.now())
    // A daemon that had no answer has placed by itself.
    for (const [server] of report) this.revokeExcess(server)
    this.grantAll()
  }

  /**
   * What a daemon had in flight ended with it. Kept until its rows are old, a killed daemon's slots stay taken for 3 s, in which requests
   * are refused although servers are free; it is back sooner than that, under a new run.
   */
  private dropEndedDaemons (): void {
    const runs = new Map(this.members.all().map(({ instance, run }) => [instance.name, run]))
    for (const [daemon, run] of this.runs) {
      if (runs.get(daemon) === run) continue
      this.runs.delete(daemon)
      this.ledger.drop(daemon)
      for (const { bids } of this.groups.values()) bids.drop(daemon)
      for (const [key, abort] of this.waiting) if (key.startsWith(`${daemon} `)) abort.abort()
    }
    this.grantAll()
  }

  /** Notes in which run a daemon is that asks or tells. */
  private recordRun (daemon: string): void {
    if (this.runs.has(daemon)) return
    const member = this.members.all().find(({ instance }) => instance.name === daemon)
    if (member !== undefined) this.runs.set(daemon, member.run)
  }

  /** Age, ms, of the oldest count by which slots are given here; 0 where this daemon has given none. */
  private readCountsAge (): number {
    return this.groups.size === 0 ? 0 : Math.round(this.ledger.readAge(this.clock.now()))
  }

  /** Online requests that wait here for a slot. */
  get waitingCount (): number {
    return this.waiting.size
  }

  private findGroupState (pool: string, group: number): GroupState {
    const key = `${pool} ${group}`
    const known = this.groups.get(key)
    if (known !== undefined) return known
    const queue = new SlotQueue({
      listCandidates: () => this.listCandidates(pool, group),
      getHoldTime: () => this.holdTimes.find(pool),
      clock: this.clock,
      random: this.random,
      metrics: this.metrics
    })
    this.metrics.gauge('slots_waiting', () => queue.length, { pool, group: String(group) })
    const state = { pool, group, queue, bids: new BatchBids() }
    this.groups.set(key, state)
    return state
  }

  private listCandidates (pool: string, group: number): readonly CandidateServer[] {
    const unresponsive = this.ledger.listUnresponsive(this.clock.now())
    return this.loads.listCandidates(pool)
      .filter(({ server }) => this.map.findGroup(pool, server) === group)
      .map(candidate => ({ ...candidate, ...this.ledger.find(candidate.server, unresponsive), ownBatch: 0 }))
  }

  private grantAll (): void {
    for (const { queue } of this.groups.values()) if (queue.length > 0) queue.grantAll()
  }

  private grantOnline (daemon: string, state: GroupState, { n, waited, sinceAsked, left, beginWithin, ...ask }: OnlineRequest): void {
    const { queue } = state
    const key = `${daemon} ${n}`
    // Asked again, because the answer didn't come: what was given lapses.
    this.waiting.get(key)?.abort()
    const abort = new AbortController()
    const now = this.clock.now()
    let answered = false
    const settle = (): void => { if (this.waiting.get(key) === abort) this.waiting.delete(key) }
    const answer = (message: SlotResponse): void => {
      answered = true
      settle()
      this.send(daemon, message)
    }
    this.waiting.set(key, abort)
    queue.request({
      ...ask,
      arrived: now - waited,
      asked: now - sinceAsked,
      deadline: now + left,
      beginBy: now + beginWithin,
      signal: abort.signal,
      start: server => {
        const g = this.ledger.record(daemon, { at: this.clock.now(), server, online: 1, batch: 0 })
        this.revokeExcess(server)
        answer({ type: 'grant', n, g, server, free: this.countFree(state) })
      },
      refuse: refusal => {
        if (abort.signal.aborted) settle()
        else answer({ type: 'refused', n, refusal })
      }
    })
    if (!answered) this.send(daemon, { type: 'queued', n })
  }

  /** Slots that no online request has: batch gives way. */
  private countFree ({ pool, group }: GroupState): number {
    return this.listCandidates(pool, group).reduce((sum, { slots, online }) => sum + Math.max(0, slots - online), 0)
  }

  /**
   * Gives slots when a daemon asks, and not whenever one comes free: the next online request would find it taken, and where daemons are
   * slow to stop an item it waits in the engine meanwhile. A daemon that is asked in place of the broker by one alone doesn't know what
   * the others run, and would give their slots to batch.
   */
  private grantBatch ({ pool, group, queue, bids }: GroupState): void {
    if (queue.length > 0 || this.map.findBroker(pool, group) !== this.settings.instance) return
    const pendingBids = bids.list(this.clock.now())
    // Looked up once and after each grant: for each wish anew, a backlog of batch takes a broker's processor time from its requests.
    let idle = pendingBids.length === 0 ? [] : this.listIdle(pool, group)
    for (const { daemon, count, avoided } of pendingBids) {
      for (let granted = 0; granted < count && idle.length > 0; granted++) {
        const server = this.chooseIdle(idle, avoided)
        if (server === undefined) break
        bids.use(daemon)
        const g = this.ledger.record(daemon, { at: this.clock.now(), server, online: 0, batch: 1 })
        this.send(daemon, { type: 'batch', g, server, pool })
        idle = this.listIdle(pool, group)
      }
    }
  }

  /** Servers with slots that batch may take, and how many. */
  private listIdle (pool: string, group: number): readonly IdleServer[] {
    return this.listCandidates(pool, group)
      .map(candidate => ({ server: candidate.server, start: planBatch(candidate).start }))
      .filter(({ start }) => start > 0)
  }

  /** A server with most of them. */
  private chooseIdle (idle: readonly IdleServer[], avoided: readonly string[]): string | undefined {
    const open = idle.filter(({ server }) => !avoided.includes(server))
    const most = Math.max(...open.map(({ start }) => start))
    const best = open.filter(({ start }) => start === most)
    return best[this.random.below(best.length)]?.server
  }

  /** Stops as many batch items as there are too many requests at the server, each time of the daemon with most. */
  private revokeExcess (server: string): void {
    const unresponsive = this.ledger.listUnresponsive(this.clock.now())
    const { stop } = planBatch({ slots: this.loads.countSlots(server), ...this.ledger.find(server, unresponsive) })
    for (let revoked = 0; revoked < stop; revoked++) {
      const daemon = this.ledger.findMostBatch(server, unresponsive)
      if (daemon === undefined) return
      const g = this.ledger.record(daemon, { at: this.clock.now(), server, online: 0, batch: -1 })
      this.send(daemon, { type: 'revoke', g, server })
    }
  }
}

partRegistry.register({ name: 'slot broker', part: SlotBroker, needs: ['server loads', 'slot map', 'members'] })
