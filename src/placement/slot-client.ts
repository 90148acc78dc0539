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
import { exchangeObserverPoint } from '../routing/exchange-observer-point.js'
import type { BatchBid } from './batch-bid.js'
import type { LoadReport } from './load-report.js'
import type { PlacementRequest } from './placement-request.js'
import { ServerLoads } from './server-loads.js'
import type { SlotResponse } from './slot-response.js'
import type { SlotRequest } from './slot-request.js'
import { SlotBroker } from './slot-broker.js'
import { SlotMap } from './slot-map.js'
import { LoadReporter } from './load-reporter.js'
import { AdaptiveTimeout } from './adaptive-timeout.js'

const REQUEST = 'slot ask'
const RESPONSE = 'slot answer'
const WITHDRAW = 'slot withdraw'
const LOAD_REPORT = 'slot row'
const PROBE = 'slot probe'
/** Bounds of the time, ms, within which a broker says something: a round trip is one or two, and its loop may be busy for some ten. */
const RESPONSE_TIMEOUT = { least: 100, most: 400 }
/** How often a broker that is passed over is asked whether it is there, ms. */
const PROBE_PERIOD = 500
/** Brokers that one request asks, one after the other. */
const MAX_BROKERS = 2
/** How often a request that is queued at its broker asks again, ms, in case the broker ended. */
const QUEUED_RETRY_PERIOD = 1_000

interface Pending {
  readonly request: PlacementRequest
  readonly group: number
  readonly broker: string
  /** Brokers that were asked before. */
  readonly triedBrokers: number
  readonly fallBack: () => void
  /** Monotonic ms at which the broker was asked last. */
  sentAt: number
  /** Whether the broker has said that it waits. */
  isQueued: boolean
  cancel: () => void
  readonly settle: () => void
}

interface BatchListener {
  /** A batch item of the pool may begin at the server, in this turn. */
  onGrant (pool: string, server: string): void
  /** One of this daemon's items at the server is to stop. */
  onRevoke (server: string): void
}

/**
 * Asks the brokers for slots, and answers for the groups whose broker this daemon is. Where a broker says nothing in time, the
 * next in rank is asked in its place: all daemons notice within moments of each other and tell it what they have in flight.
 * Where each placed by itself instead until membership named another, the engines of a loaded pool got more than their slots for
 * seconds and half of the first events came late. A request that finds no broker at all falls back to this daemon's own
 * choice: worse placed is better than late.
 */
@scoped(Lifecycle.ContainerScoped)
export class SlotClient implements Part {
  readonly extensions = [
    peerHandlerPoint.of({ type: REQUEST, handle: ({ ask }, from) => this.broker.handleRequest(from, ask as SlotRequest) }),
    peerHandlerPoint.of({ type: WITHDRAW, handle: ({ n }, from) => this.broker.cancelRequest(from, Number(n)) }),
    peerHandlerPoint.of({ type: LOAD_REPORT, handle: ({ row, seen }, from) => this.receiveLoadReport(from, row, seen) }),
    peerHandlerPoint.of({ type: PROBE, handle: (_, from) => this.sendResponse(from, { type: 'here' }) }),
    peerHandlerPoint.of({ type: RESPONSE, handle: ({ answer }, from) => this.handleResponse(from, answer as SlotResponse) }),
    // A broker knows of what it granted; of ends it must hear.
    exchangeObserverPoint.of({ onBegin: () => {}, onEnd: () => this.reporter.reportSoon() })
  ]

  private readonly reporter: LoadReporter
  /** How long brokers take to answer. */
  private readonly responseTimeout = new AdaptiveTimeout(RESPONSE_TIMEOUT)
  private readonly pending = new Map<number, Pending>()
  /** By pool and group: slots that were left when its broker last answered. */
  private readonly free = new Map<string, number>()
  private readonly listeners = new Set<BatchListener>()
  private lastRequestId = 0

  constructor (
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(tokens.random) private readonly random: Random,
    @inject(PeerLinks) private readonly links: PeerLinks,
    @inject(ServerLoads) private readonly loads: ServerLoads,
    @inject(SlotMap) private readonly map: SlotMap,
    @inject(SlotBroker) private readonly broker: SlotBroker,
    @inject(Metrics) private readonly metrics: Metrics,
    @inject(tokens.log) private readonly log: LogSink
  ) {
    broker.setSend((daemon, answer) => this.sendResponse(daemon, answer))
    this.reporter = new LoadReporter({ clock, loads, map, send: (to, row, seen) => this.sendTo(to, { type: LOAD_REPORT, row, seen }) })
  }

  async start (): Promise<void> {
    this.reporter.start()
  }

  async stop (): Promise<void> {
    this.reporter.stop()
  }

  /** `listener` hears of the slots that batch is given, and has to give back. */
  subscribe (listener: BatchListener): void {
    this.listeners.add(listener)
  }

  /** Asks for a slot for an online request; `fallBack` runs where no broker can be asked. */
  requestSlot (request: PlacementRequest, fallBack: () => void): void {
    this.requestFromGroup(this.chooseGroup(request.pool), request, fallBack, 0)
  }

  /** The freer of two groups drawn at random, as far as their brokers have told; one that hasn't is tried. */
  private chooseGroup (pool: string): number {
    const draw = (): number => this.random.below(this.map.countGroups(pool))
    const getFree = (group: number): number => this.free.get(`${pool} ${group}`) ?? Infinity
    const [first, second] = [draw(), draw()]
    return getFree(second) > getFree(first) ? second : first
  }

  private requestFromGroup (group: number, request: PlacementRequest, fallBack: () => void, triedBrokers: number): void {
    const { pool, signal } = request
    const broker = this.map.findBroker(pool, group)
    if (broker === undefined || triedBrokers >= MAX_BROKERS) return fallBack()
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

  /** Asks for slots for batch items; none may come. */
  askBatch (pool: string, { count, due, remaining }: BatchBid): void {
    const group = this.chooseGroup(pool)
    const broker = this.map.findBroker(pool, group)
    const ask: SlotRequest = { work: 'batch', pool, group, avoided: this.loads.listUnavailable(pool), count, dueIn: due - this.clock.now(), remaining }
    if (broker !== undefined) this.sendTo(broker, { type: REQUEST, ask })
  }

  private sendRequest (requestId: number): void {
    const pending = this.pending.get(requestId)
    if (pending === undefined) return
    const { request: { pool, key, avoided, arrived, asked, deadline, beginBy, target, priority, returning }, group, broker } = pending
    const now = this.clock.now()
    pending.sentAt = now
    pending.cancel = this.clock.after(this.responseTimeout.timeout, () => this.handleTimeout(requestId))
    const ask: SlotRequest = { work: 'online', n: requestId, pool, group, avoided: [...avoided, ...this.loads.listUnavailable(pool)], waited: now - arrived, sinceAsked: now - asked, left: deadline - now, beginWithin: beginBy - now, target, priority, returning, ...key !== undefined && { key } }
    this.sendTo(broker, { type: REQUEST, ask })
  }

  private handleTimeout (requestId: number): void {
    const pending = this.pending.get(requestId)
    if (pending === undefined) return
    pending.settle()
    this.metrics.count('slot_asks_total', { outcome: 'unanswered' })
    this.sendTo(pending.broker, { type: WITHDRAW, n: requestId })
    this.bypassBroker(pending.broker)
    this.requestFromGroup(pending.group, pending.request, pending.fallBack, pending.triedBrokers + 1)
    this.reporter.reportSoon()
  }

  private bypassBroker (broker: string): void {
    if (this.map.isUnresponsive(broker)) return
    this.map.setUnresponsive(broker, true)
    this.log.write('warn', 'slots', 'passes a silent broker over', { broker })
    this.probe(broker)
  }

  /** Asked anything else, a broker that ended would keep each request waiting and get the rows that its successor needs. */
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
    pending.request.refuse({ cause: 'deadline', ran: 'not run', retryAfter: 0, detail: 'it was given up while it waited' })
  }

  private handleResponse (from: string, response: SlotResponse): void {
    if (this.map.isUnresponsive(from)) this.map.setUnresponsive(from, false)
    this.recordDelay(response)
    switch (response?.type) {
      case 'grant': return this.handleGrant(from, response)
      case 'queued': {
        const pending = this.pending.get(response.n)
        if (pending === undefined) return
        this.free.set(`${pending.request.pool} ${pending.group}`, 0)
        pending.cancel()
        pending.cancel = this.clock.after(QUEUED_RETRY_PERIOD, () => this.sendRequest(response.n))
        return
      }
      case 'refused': return this.handleRefusal(response)
      case 'batch': {
        this.reporter.recordSeen(from, response.g)
        for (const listener of this.listeners) listener.onGrant(response.pool, response.server)
        return this.reporter.reportSoon()
      }
      case 'revoke': {
        this.reporter.recordSeen(from, response.g)
        for (const listener of this.listeners) listener.onRevoke(response.server)
        return this.reporter.reportSoon()
      }
      case 'here':
      case undefined: return
      default: return failUnreachable(response)
    }
  }

  /** A queued request is asked for again, and its slot comes whenever one is free: only the first word tells how fast the broker is. */
  private recordDelay (response: SlotResponse): void {
    if (response?.type !== 'grant' && response?.type !== 'queued' && response?.type !== 'refused') return
    const pending = this.pending.get(response.n)
    if (pending === undefined || pending.isQueued) return
    this.responseTimeout.record(this.clock.now() - pending.sentAt)
    pending.isQueued = response.type === 'queued'
  }

  private handleRefusal ({ n, refusal }: Extract<SlotResponse, { type: 'refused' }>): void {
    const pending = this.pending.get(n)
    if (pending === undefined) return
    pending.settle()
    this.free.set(`${pending.request.pool} ${pending.group}`, 0)
    this.metrics.count('slot_asks_total', { outcome: 'refused' })
    pending.request.refuse(refusal)
  }

  /** A slot that isn't used goes back with the next row, which says that the grant was seen. */
  private handleGrant (from: string, { n, g, server, free }: Extract<SlotResponse, { type: 'grant' }>): void {
    this.reporter.recordSeen(from, g)
    const pending = this.pending.get(n)
    if (pending === undefined) return this.reporter.reportSoon()
    pending.settle()
    this.free.set(`${pending.request.pool} ${pending.group}`, free)
    if (!this.loads.isOpen(server)) {
      this.reporter.reportSoon()
      return pending.fallBack()
    }
    this.metrics.count('slot_asks_total', { outcome: 'granted' })
    pending.request.start(server)
  }

  private receiveLoadReport (from: string, report: unknown, seen: unknown): void {
    if (Array.isArray(report)) this.broker.applyReport(from, report as LoadReport, Number(seen) || 0)
  }

  private sendResponse (daemon: string, answer: SlotResponse): void {
    if (daemon === this.settings.instance) this.handleResponse(daemon, answer)
    else this.links.send(daemon, { type: RESPONSE, answer })
  }

  /** This daemon may be the broker itself. */
  private sendTo (broker: string, message: PeerMessage): void {
    if (broker === this.settings.instance) this.links.dispatch(message, broker)
    else this.links.send(broker, message)
  }
}

partRegistry.register({ name: 'slot asker', part: SlotClient, needs: ['slot broker', 'slot map', 'server loads', 'peer links'] })
