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
import type { LoadRow } from './load-row.js'
import type { PlaceRequest } from './place-request.js'
import { ServerLoads } from './server-loads.js'
import type { SlotAnswer } from './slot-answer.js'
import type { SlotAsk } from './slot-ask.js'
import { SlotBroker } from './slot-broker.js'
import { SlotMap } from './slot-map.js'
import { SlotRows } from './slot-rows.js'
import { UsualDelay } from './usual-delay.js'

const ASK = 'slot ask'
const ANSWER = 'slot answer'
const WITHDRAW = 'slot withdraw'
const ROW = 'slot row'
const PROBE = 'slot probe'
/** Bounds of the time, ms, within which a broker says something: a round trip is one or two, and its loop may be busy for some ten. */
const ANSWER_WITHIN = { least: 100, most: 400 }
/** How often a broker that is passed over is asked whether it is there, ms. */
const PROBE_PERIOD = 500
/** Brokers that one request asks, one after the other. */
const MAX_BROKERS = 2
/** How often a request that is queued at its broker asks again, ms, in case the broker ended. */
const ASK_AGAIN = 1_000

interface Pending {
  readonly request: PlaceRequest
  readonly group: number
  readonly broker: string
  /** Brokers that were asked before. */
  readonly passed: number
  readonly fallBack: () => void
  /** Monotonic ms at which the broker was asked last. */
  askedAt: number
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
    peerHandlerPoint.of({ type: ASK, handle: ({ ask }, from) => this.broker.ask(from, ask as SlotAsk) }),
    peerHandlerPoint.of({ type: WITHDRAW, handle: ({ n }, from) => this.broker.cancelAsk(from, Number(n)) }),
    peerHandlerPoint.of({ type: ROW, handle: ({ row, seen }, from) => this.takeRow(from, row, seen) }),
    peerHandlerPoint.of({ type: PROBE, handle: (_, from) => this.sendAnswer(from, { type: 'here' }) }),
    peerHandlerPoint.of({ type: ANSWER, handle: ({ answer }, from) => this.handleAnswer(from, answer as SlotAnswer) }),
    // A broker knows of what it granted; of ends it must hear.
    exchangeObserverPoint.of({ onBegin: () => {}, onEnd: () => this.rows.tellSoon() })
  ]

  private readonly rows: SlotRows
  /** How long brokers take to answer. */
  private readonly answering = new UsualDelay(ANSWER_WITHIN)
  private readonly pending = new Map<number, Pending>()
  /** By pool and group: slots that were left when its broker last answered. */
  private readonly free = new Map<string, number>()
  private readonly listeners = new Set<BatchListener>()
  private lastN = 0

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
    broker.setSend((daemon, answer) => this.sendAnswer(daemon, answer))
    this.rows = new SlotRows({ clock, loads, map, send: (to, row, seen) => this.sendTo(to, { type: ROW, row, seen }) })
  }

  async start (): Promise<void> {
    this.rows.start()
  }

  async stop (): Promise<void> {
    this.rows.stop()
  }

  /** `listener` hears of the slots that batch is given, and has to give back. */
  subscribe (listener: BatchListener): void {
    this.listeners.add(listener)
  }

  /** Asks for a slot for an online request; `fallBack` runs where no broker can be asked. */
  ask (request: PlaceRequest, fallBack: () => void): void {
    this.askGroup(this.chooseGroup(request.pool), request, fallBack, 0)
  }

  /** The freer of two groups drawn at random, as far as their brokers have told; one that hasn't is tried. */
  private chooseGroup (pool: string): number {
    const draw = (): number => this.random.below(this.map.countGroups(pool))
    const getFree = (group: number): number => this.free.get(`${pool} ${group}`) ?? Infinity
    const [first, second] = [draw(), draw()]
    return getFree(second) > getFree(first) ? second : first
  }

  private askGroup (group: number, request: PlaceRequest, fallBack: () => void, passed: number): void {
    const { pool, signal } = request
    const broker = this.map.findBroker(pool, group)
    if (broker === undefined || passed >= MAX_BROKERS) return fallBack()
    const n = ++this.lastN
    const onAbort = (): void => this.cancelPending(n)
    signal.addEventListener('abort', onAbort, { once: true })
    const settle = (): void => {
      this.pending.get(n)?.cancel()
      this.pending.delete(n)
      signal.removeEventListener('abort', onAbort)
    }
    this.pending.set(n, { request, group, broker, passed, fallBack, askedAt: this.clock.now(), isQueued: false, cancel: () => {}, settle })
    this.sendAsk(n)
  }

  /** Asks for slots for batch items; none may come. */
  askBatch (pool: string, { count, due, remaining }: BatchBid): void {
    const group = this.chooseGroup(pool)
    const broker = this.map.findBroker(pool, group)
    const ask: SlotAsk = { work: 'batch', pool, group, avoided: this.loads.listClosed(pool), count, dueIn: due - this.clock.now(), remaining }
    if (broker !== undefined) this.sendTo(broker, { type: ASK, ask })
  }

  private sendAsk (n: number): void {
    const pending = this.pending.get(n)
    if (pending === undefined) return
    const { request: { pool, key, avoided, arrived, asked, deadline, beginBy, target, priority, returning }, group, broker } = pending
    const now = this.clock.now()
    pending.askedAt = now
    pending.cancel = this.clock.after(this.answering.silentAfter, () => this.giveUp(n))
    const ask: SlotAsk = { work: 'online', n, pool, group, avoided: [...avoided, ...this.loads.listClosed(pool)], waited: now - arrived, sinceAsked: now - asked, left: deadline - now, beginWithin: beginBy - now, target, priority, returning, ...key !== undefined && { key } }
    this.sendTo(broker, { type: ASK, ask })
  }

  private giveUp (n: number): void {
    const pending = this.pending.get(n)
    if (pending === undefined) return
    pending.settle()
    this.metrics.count('slot_asks_total', { outcome: 'unanswered' })
    this.sendTo(pending.broker, { type: WITHDRAW, n })
    this.passOver(pending.broker)
    this.askGroup(pending.group, pending.request, pending.fallBack, pending.passed + 1)
    this.rows.tellSoon()
  }

  private passOver (broker: string): void {
    if (this.map.isSilent(broker)) return
    this.map.setSilent(broker, true)
    this.log.write('warn', 'slots', 'passes a silent broker over', { broker })
    this.probe(broker)
  }

  /** Asked anything else, a broker that ended would keep each request waiting and get the rows that its successor needs. */
  private probe (broker: string): void {
    this.clock.after(PROBE_PERIOD, () => {
      if (!this.map.isSilent(broker)) return
      if (!this.map.isOwner(broker)) return this.map.setSilent(broker, false)
      this.sendTo(broker, { type: PROBE })
      this.probe(broker)
    })
  }

  private cancelPending (n: number): void {
    const pending = this.pending.get(n)
    if (pending === undefined) return
    pending.settle()
    this.sendTo(pending.broker, { type: WITHDRAW, n })
    pending.request.refuse({ cause: 'deadline', ran: 'not run', retryAfter: 0, detail: 'it was given up while it waited' })
  }

  private handleAnswer (from: string, answer: SlotAnswer): void {
    if (this.map.isSilent(from)) this.map.setSilent(from, false)
    this.noteDelay(answer)
    switch (answer?.type) {
      case 'grant': return this.takeGrant(from, answer)
      case 'queued': {
        const pending = this.pending.get(answer.n)
        if (pending === undefined) return
        this.free.set(`${pending.request.pool} ${pending.group}`, 0)
        pending.cancel()
        pending.cancel = this.clock.after(ASK_AGAIN, () => this.sendAsk(answer.n))
        return
      }
      case 'refused': return this.takeRefusal(answer)
      case 'batch': {
        this.rows.noteSeen(from, answer.g)
        for (const listener of this.listeners) listener.onGrant(answer.pool, answer.server)
        return this.rows.tellSoon()
      }
      case 'revoke': {
        this.rows.noteSeen(from, answer.g)
        for (const listener of this.listeners) listener.onRevoke(answer.server)
        return this.rows.tellSoon()
      }
      case 'here':
      case undefined: return
      default: return failUnreachable(answer)
    }
  }

  /** A queued request is asked for again, and its slot comes whenever one is free: only the first word tells how fast the broker is. */
  private noteDelay (answer: SlotAnswer): void {
    if (answer?.type !== 'grant' && answer?.type !== 'queued' && answer?.type !== 'refused') return
    const pending = this.pending.get(answer.n)
    if (pending === undefined || pending.isQueued) return
    this.answering.record(this.clock.now() - pending.askedAt)
    pending.isQueued = answer.type === 'queued'
  }

  private takeRefusal ({ n, refusal }: Extract<SlotAnswer, { type: 'refused' }>): void {
    const pending = this.pending.get(n)
    if (pending === undefined) return
    pending.settle()
    this.free.set(`${pending.request.pool} ${pending.group}`, 0)
    this.metrics.count('slot_asks_total', { outcome: 'refused' })
    pending.request.refuse(refusal)
  }

  /** A slot that isn't used goes back with the next row, which says that the grant was seen. */
  private takeGrant (from: string, { n, g, server, free }: Extract<SlotAnswer, { type: 'grant' }>): void {
    this.rows.noteSeen(from, g)
    const pending = this.pending.get(n)
    if (pending === undefined) return this.rows.tellSoon()
    pending.settle()
    this.free.set(`${pending.request.pool} ${pending.group}`, free)
    if (!this.loads.isOpen(server)) {
      this.rows.tellSoon()
      return pending.fallBack()
    }
    this.metrics.count('slot_asks_total', { outcome: 'granted' })
    pending.request.start(server)
  }

  private takeRow (from: string, told: unknown, seen: unknown): void {
    if (Array.isArray(told)) this.broker.take(from, told as LoadRow, Number(seen) || 0)
  }

  private sendAnswer (daemon: string, answer: SlotAnswer): void {
    if (daemon === this.settings.instance) this.handleAnswer(daemon, answer)
    else this.links.send(daemon, { type: ANSWER, answer })
  }

  /** This daemon may be the broker itself. */
  private sendTo (broker: string, message: PeerMessage): void {
    if (broker === this.settings.instance) this.links.dispatch(message, broker)
    else this.links.send(broker, message)
  }
}

partRegistry.register({ name: 'slot asker', part: SlotClient, needs: ['slot broker', 'slot map', 'server loads', 'peer links'] })
