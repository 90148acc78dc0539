import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Refusal } from '../admission/refusal.js'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Random } from '../kernel/random.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import type { LogSink } from '../observe/log-sink.js'
import { Metrics } from '../observe/metrics.js'
import { Members } from '../peers/members.js'
import { buildQuotaRefusal } from '../quota/build-quota-refusal.js'
import { CallerQuotas } from '../quota/caller-quotas.js'
import type { QuotaDecision } from '../quota/quota-decision.js'
import { InstanceList } from '../store/instance-list.js'
import { BatchBids } from './batch-bids.js'
import { BatchGranter } from './batch-granter.js'
import { countExcessBatch } from './count-excess-batch.js'
import type { LoadReport } from './load-report.js'
import type { OutcomeReport } from './outcome-report.js'
import type { PaceReport } from './pace/pace-report.js'
import { CallerShares } from './shares/caller-shares.js'
import { ServerLoads } from './server-loads.js'
import type { ServerOutcome } from './server-outcome.js'
import { SlotGroup } from './slot-group.js'
import { SlotHoldTimes } from './slot-hold-times.js'
import { SlotLedger } from './slot-ledger.js'
import { SlotMap } from './slot-map.js'
import { SlotQueue } from './slot-queue.js'
import type { SlotRequest } from './slot-request.js'
import type { SlotResponse } from './slot-response.js'

/** Interval at which expired counts are removed and slots freed by them or by a returning server are granted, ms. */
const CHECK_PERIOD = 500

type OnlineRequest = Extract<SlotRequest, { work: 'online' }>
type Send = (daemon: string, answer: SlotResponse) => void

interface GroupState {
  readonly pool: string
  readonly group: number
  readonly servers: SlotGroup
  readonly queue: SlotQueue
  readonly bids: BatchBids
}

/**
 * Grants all daemons the slots of the server groups that are assigned to this daemon. If each daemon placed requests by counts
 * exchanged with the others, these would be outdated in a burst, and the excess would wait in the engines without priorities. A single
 * broker has exact counts and one queue for its group.
 *
 * Two daemons may both consider themselves the broker of a group until a membership change has spread; servers may be given more
 * requests than slots meanwhile. A broker that stops is replaced by the next in rank, which learns from the daemons' load reports
 * within a second which slots are taken.
 */
@scoped(Lifecycle.ContainerScoped)
export class SlotBroker implements Part {
  private readonly ledger = new SlotLedger()
  private readonly groups = new Map<string, GroupState>()
  /** Waiting online requests, by daemon and request id. */
  private readonly waiting = new Map<string, AbortController>()
  /** The run in which each known daemon sent its first message. */
  private readonly runs = new Map<string, number>()
  private readonly batch: BatchGranter
  private send: Send = () => {}
  private cancel = (): void => {}

  constructor (
    @inject(tokens.settings) settings: Pick<Settings, 'instance'>,
    @inject(ServerLoads) private readonly loads: ServerLoads,
    @inject(Members) private readonly members: Members,
    @inject(SlotMap) private readonly map: SlotMap,
    @inject(InstanceList) private readonly list: InstanceList,
    @inject(SlotHoldTimes) private readonly holdTimes: SlotHoldTimes,
    @inject(CallerQuotas) private readonly quotas: Pick<CallerQuotas, 'take' | 'giveBack'>,
    @inject(CallerShares) private readonly shares: CallerShares,
    @inject(Metrics) private readonly metrics: Metrics,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(tokens.random) private readonly random: Random,
    @inject(tokens.log) private readonly log: LogSink
  ) {
    const isBroker = (pool: string, group: number): boolean => map.findBroker(pool, group) === settings.instance
    this.batch = new BatchGranter({ clock, random, metrics, log, ledger: this.ledger, isBroker, send: (daemon, answer) => this.send(daemon, answer) })
    metrics.gauge('slot_counts_age_ms', () => this.readCountsAge())
  }

  async start (): Promise<void> {
    this.members.subscribe(() => this.dropEndedDaemons())
    this.list.subscribeRestarts(server => this.findStateOf(server)?.servers.forget(server))
    this.cancel = this.clock.every(CHECK_PERIOD, () => {
      if (this.groups.size === 0) return
      this.ledger.dropExpired(this.clock.now())
      for (const { queue } of this.groups.values()) queue.dropIdleShares()
      this.grantAll()
    })
  }

  async stop (): Promise<void> {
    this.cancel()
  }

  /** Sets the function that sends responses to daemons. */
  setSend (send: Send): void {
    this.send = send
  }

  /** Responds to a daemon's request, at once or when a slot becomes free. */
  handleRequest (daemon: string, request: SlotRequest): void {
    this.recordRun(daemon)
    const state = this.findGroupState(request.pool, request.group)
    if (request.work === 'online') return this.grantOnline(daemon, state, request)
    this.batch.receiveBid(daemon, state, request)
  }

  /** Withdraws a daemon's waiting request. */
  cancelRequest (daemon: string, requestId: number): void {
    this.waiting.get(`${daemon} ${requestId}`)?.abort()
  }

  /** Applies a daemon's load report, which includes its changes up to sequence number `seen`. */
  applyReport (daemon: string, report: LoadReport, seen: number): void {
    this.recordRun(daemon)
    this.ledger.put(daemon, report, seen, this.clock.now())
    // A daemon that received no response may have placed requests by local selection.
    for (const [server] of report) this.revokeExcess(server)
    this.grantAll()
  }

  /** Applies how a daemon's requests ended at servers; ejects those that fail requests which others answer. */
  applyOutcomes (daemon: string, report: OutcomeReport): void {
    const at = this.clock.now()
    for (const [server, answered, failed, itemsAnswered = 0, itemsFailed = 0] of report) {
      for (let n = 0; n < answered + failed; n++) this.applyOutcome(server, 'online', { daemon, failed: n >= answered, at })
      for (let n = 0; n < itemsAnswered + itemsFailed; n++) this.applyOutcome(server, 'batch', { daemon, failed: n >= itemsAnswered, at })
    }
  }

  /** Applies the intervals between the events of a daemon's streams; servers that have turned slow get other requests, or none. */
  applyPaces (report: PaceReport): void {
    const at = this.clock.now()
    for (const [server, count, mean] of report) this.findStateOf(server)?.servers.recordPace(server, { count: Number(count), mean: Number(mean) }, at)
  }

  private findStateOf (server: string): GroupState | undefined {
    return [...this.groups.values()].find(({ servers }) => servers.names.includes(server))
  }

  private applyOutcome (server: string, work: 'online' | 'batch', outcome: ServerOutcome): void {
    const state = this.findStateOf(server)
    const change = state?.servers.recordOutcome(server, work, outcome)
    if (state === undefined || change === undefined) return
    this.metrics.count('servers_ejected_total', { change })
    this.log.write('warn', 'slots', `${change} a server`, { server, pool: state.pool, group: state.group, daemon: outcome.daemon })
    if (change === 'restored') state.queue.grantAll()
  }

  /**
   * Removes the counts, bids and waiting requests of daemons whose run has ended. A killed daemon restarts, under a new run, before its
   * report expires after 3 s; until then its slots would count as taken and requests would be refused although servers are free.
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

  /** Records the current run of a daemon at its first message. */
  private recordRun (daemon: string): void {
    if (this.runs.has(daemon)) return
    const member = this.members.all().find(({ instance }) => instance.name === daemon)
    if (member !== undefined) this.runs.set(daemon, member.run)
  }

  /** Returns the age, ms, of the oldest count that grants are based on; 0 if this daemon has not acted as a broker. */
  private readCountsAge (): number {
    return this.groups.size === 0 ? 0 : Math.round(this.ledger.readAge(this.clock.now()))
  }

  /** Number of online requests that wait for a slot. */
  get waitingCount (): number {
    return this.waiting.size
  }

  private findGroupState (pool: string, group: number): GroupState {
    const key = `${pool} ${group}`
    const existing = this.groups.get(key)
    if (existing !== undefined) return existing
    const { clock, loads, map, ledger } = this
    const servers = new SlotGroup({ pool, group, clock, loads, map, ledger, log: this.log })
    const queue = new SlotQueue({
      listCandidates: () => servers.listCandidates(),
      listSlow: () => servers.listSlow(),
      hasVersion: version => this.loads.listOfVersion(pool, version).length > 0,
      getHoldTime: () => this.holdTimes.find(pool),
      getMeanSize: () => this.holdTimes.findSize(pool),
      findShare: caller => this.shares.find(caller),
      clock: this.clock,
      random: this.random,
      metrics: this.metrics
    })
    this.metrics.gauge('servers_slow', () => servers.countSlow(), { pool, group: String(group) })
    this.metrics.gauge('slots_waiting', () => queue.length, { pool, group: String(group) })
    const state = { pool, group, servers, queue, bids: new BatchBids() }
    this.groups.set(key, state)
    return state
  }

  private grantAll (): void {
    for (const { queue } of this.groups.values()) if (queue.length > 0) queue.grantAll()
  }

  private grantOnline (daemon: string, state: GroupState, { n, caller, isCounted = false, waited, sinceAsked, left, beginWithin, ...ask }: OnlineRequest): void {
    const { queue } = state
    const charged = isCounted ? undefined : caller
    const key = `${daemon} ${n}`
    // A repeated request replaces the earlier one; a grant whose response was lost expires.
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
    const refuse = (refusal: Refusal): void => {
      if (abort.signal.aborted) settle()
      else answer({ type: 'refused', n, refusal })
    }
    this.waiting.set(key, abort)
    const enqueue = (): void => queue.request({
      ...ask,
      caller,
      arrived: now - waited,
      asked: now - sinceAsked,
      deadline: now + left,
      beginBy: now + beginWithin,
      signal: abort.signal,
      start: server => {
        const g = this.ledger.record(daemon, { at: this.clock.now(), server, online: 1, batch: 0 })
        this.revokeExcess(server)
        answer({ type: 'grant', n, g, server, free: state.servers.countFree() })
      },
      refuse: refusal => {
        this.quotas.giveBack(charged)
        refuse(refusal)
      }
    })
    const admit = (decision: QuotaDecision): void => {
      if (decision.type !== 'granted') return refuse(buildQuotaRefusal(decision, charged))
      if (abort.signal.aborted) {
        settle()
        return this.quotas.giveBack(charged)
      }
      enqueue()
      if (!answered) this.send(daemon, { type: 'queued', n })
    }
    const decision = this.quotas.take(charged)
    if (decision instanceof Promise) void decision.then(admit)
    else admit(decision)
  }

  /** Revokes as many batch items as requests exceed the server's slots, each from the daemon with most items there. */
  private revokeExcess (server: string): void {
    const unresponsive = this.ledger.listUnresponsive(this.clock.now())
    const stop = countExcessBatch({ slots: this.loads.countSlots(server), ...this.ledger.find(server, unresponsive) })
    for (let revoked = 0; revoked < stop; revoked++) {
      const daemon = this.ledger.findMostBatch(server, unresponsive)
      if (daemon === undefined) return
      const g = this.ledger.record(daemon, { at: this.clock.now(), server, online: 0, batch: -1 })
      this.send(daemon, { type: 'revoke', g, server })
    }
  }
}

partRegistry.register({ name: 'slot broker', part: SlotBroker, needs: ['server loads', 'slot map', 'members'] })
