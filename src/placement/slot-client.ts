import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Random } from '../kernel/random.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import { failUnreachable } from '../kernel/unreachable.js'
import type { LogSink } from '../observe/log-sink.js'
import { Metrics } from '../observe/metrics.js'
import { peerHandlerPoint } from '../peers/peer-handler-point.js'
import { PeerLinks } from '../peers/peer-links.js'
import type { PeerMessage } from '../peers/peer-message.js'
import { exchangeObserverPoint } from '../routing/exchanges/exchange-observer-point.js'
import type { BatchBid } from './batch-bid.js'
import { BatchBidder } from './batch-bidder.js'
import { buildSlotRequest } from './build-slot-request.js'
import { givenUpRefusal } from './given-up-refusal.js'
import { GroupChooser } from './group-chooser.js'
import type { LoadReport } from './load-report.js'
import { LoadReporter } from './load-reporter.js'
import type { OutcomeReport } from './outcome-report.js'
import type { PaceReport } from './pace/pace-report.js'
import type { PlacementRequest } from './placement-request.js'
import { ResponseDelays } from './response-delays.js'
import { ServerLoads } from './server-loads.js'
import { SlotBroker } from './slot-broker.js'
import { SlotMap } from './slot-map.js'
import type { SlotRequest } from './slot-request.js'
import type { SlotResponse } from './slot-response.js'

const REQUEST = 'slot ask'
const RESPONSE = 'slot answer'
const WITHDRAW = 'slot withdraw'
const LOAD_REPORT = 'slot row'
const PROBE = 'slot probe'
/** Interval at which a bypassed broker is probed, ms. */
const PROBE_PERIOD = 500
/** Brokers that a request tries before it falls back to local selection; fewer in the first `START_TIME` ms of a process. */
const MAX_BROKERS = { atStart: 1, later: 2 }
const START_TIME = 2_000
/** Interval at which a request queued at its broker is sent again, ms, in case the broker has stopped. */
const QUEUED_RETRY_PERIOD = 1_000

interface Pending {
  readonly request: PlacementRequest
  readonly group: number
  readonly broker: string
  /** Number of brokers tried before. */
  readonly triedBrokers: number
  readonly fallBack: () => void
  /** Time of the last request to the broker, monotonic ms. */
  sentAt: number
  /** Whether the broker has confirmed that the request is queued. */
  isQueued: boolean
  cancel: () => void
  readonly settle: () => void
}

interface BatchListener {
  /** A batch item of the pool may start at the server, in the same event-loop turn. */
  onGrant (pool: string, server: string): void
  /** One of this daemon's batch items at the server must stop. */
  onRevoke (server: string): void
}

/**
 * Requests slots from the brokers and connects this daemon's own broker to the network. If a broker doesn't respond in time, its
 * requests go to the next in rank: all daemons notice the failure at about the same time and send the successor their load reports.
 * If each fell back to local selection until membership detects the failure, a loaded pool's servers would be overcommitted for
 * seconds. Only a request that finds no broker at all falls back to local selection, since a worse placement is better than a late one.
 */
@scoped(Lifecycle.ContainerScoped)
export class SlotClient implements Part {
  readonly extensions = [
    peerHandlerPoint.of({ type: REQUEST, handle: ({ ask }, from) => this.broker.handleRequest(from, ask as SlotRequest) }),
    peerHandlerPoint.of({ type: WITHDRAW, handle: ({ n }, from) => this.broker.cancelRequest(from, Number(n)) }),
    peerHandlerPoint.of({ type: LOAD_REPORT, handle: (message, from) => this.receiveLoadReport(from, message) }),
    peerHandlerPoint.of({ type: PROBE, handle: (_, from) => this.sendResponse(from, { type: 'here' }) }),
    peerHandlerPoint.of({ type: RESPONSE, handle: ({ answer }, from) => this.handleResponse(from, answer as SlotResponse) }),
    // A broker counts its own grants, but the end of a request must be reported to it.
    exchangeObserverPoint.of({ onBegin: () => {}, onEnd: () => this.reporter.reportSoon() })
  ]

  private readonly reporter: LoadReporter
  private readonly bidder: BatchBidder
  private readonly delays = new ResponseDelays()
  private readonly pending = new Map<number, Pending>()
  private readonly groups: GroupChooser
  private readonly listeners = new Set<BatchListener>()
  private lastRequestId = 0
  private readonly startedAt: number

  constructor (
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(tokens.random) random: Random,
    @inject(PeerLinks) private readonly links: PeerLinks,
    @inject(ServerLoads) private readonly loads: ServerLoads,
    @inject(SlotMap) private readonly map: SlotMap,
    @inject(SlotBroker) private readonly broker: SlotBroker,
    @inject(Metrics) private readonly metrics: Metrics,
    @inject(tokens.log) private readonly log: LogSink
  ) {
    this.startedAt = clock.now()
    this.groups = new GroupChooser({ clock, random, loads, map })
    this.bidder = new BatchBidder({ clock, random, metrics, log, loads, map, groups: this.groups, send: (broker, ask) => this.sendTo(broker, { type: REQUEST, ask }), onGrant: (pool, server) => this.notifyGrant(pool, server) })
    broker.setSend((daemon, answer) => this.sendResponse(daemon, answer))
    this.reporter = new LoadReporter({ clock, loads, map, send: (to, report, seen, { outcomes, paces }) => this.sendTo(to, { type: LOAD_REPORT, row: report, seen, ...outcomes.length > 0 && { outcomes }, ...paces.length > 0 && { paces } }) })
  }

  async start (): Promise<void> {
    this.reporter.start()
  }

  async stop (): Promise<void> {
    this.reporter.stop()
  }

  /** Notifies `listener` of batch slots that are granted or revoked. */
  subscribe (listener: BatchListener): void {
    this.listeners.add(listener)
  }

  /** Requests a slot for an online request; calls `fallBack` if no broker can be reached. */
  requestSlot (request: PlacementRequest, fallBack: () => void): void {
    this.requestFromGroup(this.groups.choose(request.pool, request.version), request, fallBack, 0)
  }

  /**
   * After a restart of all daemons every broker responds late, and the servers are idle: a request that tried two of them would be late,
   * and one that is placed by its daemon finds a slot.
   */
  private get maxBrokers (): number {
    return this.clock.now() < this.startedAt + START_TIME ? MAX_BROKERS.atStart : MAX_BROKERS.later
  }

  private requestFromGroup (group: number, request: PlacementRequest, fallBack: () => void, triedBrokers: number): void {
    const { pool, signal } = request
    const broker = this.map.findBroker(pool, group)
    if (broker === undefined || triedBrokers >= this.maxBrokers) return fallBack()
    const requestId = ++this.lastRequestId
    const onAbort = (): void => this.cancelPending(requestId)
    signal.addEventListener('abort', onAbort, { once: true })
    const settle = (): void => {
      this.pending.get(requestId)?.cancel()
      this.pending.delete(requestId)
      signal.removeEventListener('abort', onAbort)
    }
    this.pending.set(requestId, { request, group, broker, triedBrokers, fallBack, sentAt: this.clock.now(), isQueued: false, cancel: () => {}, settle })
    this.sendRequest(requestId)
  }

  /** Requests slots for batch items; the broker may grant none and sends no response then. */
  requestBatchSlots (pool: string, bid: BatchBid): void {
    this.bidder.submit(pool, bid)
  }

  private sendRequest (requestId: number): void {
    const pending = this.pending.get(requestId)
    if (pending === undefined) return
    const { request, group, broker } = pending
    pending.sentAt = this.clock.now()
    pending.cancel = this.clock.after(this.delays.timeout, () => this.handleTimeout(requestId))
    this.sendTo(broker, { type: REQUEST, ask: buildSlotRequest({ n: requestId, group, request, unavailable: this.loads.listUnavailable(request.pool), now: pending.sentAt }) })
  }

  private handleTimeout (requestId: number): void {
    const pending = this.pending.get(requestId)
    if (pending === undefined) return
    pending.settle()
    this.delays.recordTimeout(requestId, pending.sentAt)
    this.metrics.count('slot_asks_total', { outcome: 'unanswered' })
    this.sendTo(pending.broker, { type: WITHDRAW, n: requestId })
    this.bypassBroker(pending.broker)
    this.requestFromGroup(pending.group, pending.request, pending.fallBack, pending.triedBrokers + 1)
    this.reporter.reportSoon()
  }

  private bypassBroker (broker: string): void {
    if (this.map.isUnresponsive(broker)) return
    this.map.setUnresponsive(broker, true)
    this.log.write('warn', 'slots', 'bypasses an unresponsive broker', { broker })
    this.probe(broker)
  }

  /** Probes a bypassed broker until it responds or may no longer be one. Real requests would be delayed, and reports would miss its successor. */
  private probe (broker: string): void {
    this.clock.after(PROBE_PERIOD, () => {
      if (!this.map.isUnresponsive(broker)) return
      if (!this.map.isEligible(broker)) return this.map.setUnresponsive(broker, false)
      this.sendTo(broker, { type: PROBE })
      this.probe(broker)
    })
  }

  private cancelPending (requestId: number): void {
    const pending = this.pending.get(requestId)
    if (pending === undefined) return
    pending.settle()
    this.sendTo(pending.broker, { type: WITHDRAW, n: requestId })
    pending.request.refuse(givenUpRefusal)
  }

  private handleResponse (from: string, response: SlotResponse): void {
    if (this.map.isUnresponsive(from)) this.map.setUnresponsive(from, false)
    this.recordDelay(response)
    switch (response?.type) {
      case 'grant': return this.handleGrant(from, response)
      case 'queued': {
        const pending = this.pending.get(response.n)
        if (pending === undefined) return
        this.groups.record(pending.request.pool, pending.group, 0)
        pending.cancel()
        pending.cancel = this.clock.after(QUEUED_RETRY_PERIOD, () => this.sendRequest(response.n))
        return
      }
      case 'refused': return this.handleRefusal(response)
      case 'batch': {
        this.reporter.recordSeen(from, response.g)
        this.notifyGrant(response.pool, response.server)
        return this.reporter.reportSoon()
      }
      case 'revoke': {
        this.reporter.recordSeen(from, response.g)
        for (const listener of this.listeners) listener.onRevoke(response.server)
        return this.reporter.reportSoon()
      }
      case 'bid': {
        if (response.isBroker) this.bidder.recordConfirmation(response.pool, response.group)
        return
      }
      case 'here':
      case undefined: return
      default: return failUnreachable(response)
    }
  }

  private notifyGrant (pool: string, server: string): void {
    for (const listener of this.listeners) listener.onGrant(pool, server)
  }

  /**
   * Records the response delay of a request. Only the first response counts, since a queued request's grant depends on free slots.
   * A late one counts as well; with only those in time, the timeout would never grow to what a busy broker needs.
   */
  private recordDelay (response: SlotResponse): void {
    if (response?.type !== 'grant' && response?.type !== 'queued' && response?.type !== 'refused') return
    const pending = this.pending.get(response.n)
    if (pending === undefined) return this.delays.recordLate(response.n, this.clock.now())
    if (pending.isQueued) return
    this.delays.record(this.clock.now() - pending.sentAt)
    pending.isQueued = response.type === 'queued'
  }

  private handleRefusal ({ n, refusal }: Extract<SlotResponse, { type: 'refused' }>): void {
    const pending = this.pending.get(n)
    if (pending === undefined) return
    pending.settle()
    if (refusal.cause !== 'over quota') this.groups.record(pending.request.pool, pending.group, 0)
    this.metrics.count('slot_asks_total', { outcome: 'refused' })
    pending.request.refuse(refusal)
  }

  /** Starts the request on its granted slot. An unused slot returns to the broker by the next load report, which acknowledges the grant. */
  private handleGrant (from: string, { n, g, server, free }: Extract<SlotResponse, { type: 'grant' }>): void {
    this.reporter.recordSeen(from, g)
    const pending = this.pending.get(n)
    if (pending === undefined) return this.reporter.reportSoon()
    pending.settle()
    this.groups.record(pending.request.pool, pending.group, free)
    if (!this.loads.isOpen(server)) {
      this.reporter.reportSoon()
      return pending.fallBack()
    }
    this.metrics.count('slot_asks_total', { outcome: 'granted' })
    pending.request.start(server)
  }

  private receiveLoadReport (from: string, { row: report, seen, outcomes, paces }: PeerMessage): void {
    // Outcomes and paces first: the report frees slots, which a server that fails requests or has turned slow must not get again.
    if (Array.isArray(outcomes)) this.broker.applyOutcomes(from, outcomes as OutcomeReport)
    if (Array.isArray(paces)) this.broker.applyPaces(paces as PaceReport)
    if (Array.isArray(report)) this.broker.applyReport(from, report as LoadReport, Number(seen) || 0)
  }

  private sendResponse (daemon: string, answer: SlotResponse): void {
    if (daemon === this.settings.instance) this.handleResponse(daemon, answer)
    else this.links.send(daemon, { type: RESPONSE, answer })
  }

  /** Sends a message to a broker, which may be this daemon. */
  private sendTo (broker: string, message: PeerMessage): void {
    if (broker === this.settings.instance) this.links.dispatch(message, broker)
    else this.links.send(broker, message)
  }
}

partRegistry.register({ name: 'slot asker', part: SlotClient, needs: ['slot broker', 'slot map', 'server loads', 'peer links'] })
