import { rankOwners } from '../../coordination/rank-owners.js'
import type { Clock } from '../../kernel/clock.js'
import type { Settings } from '../../kernel/settings.js'
import type { Members } from '../../peers/members.js'
import type { PeerLinks } from '../../peers/peer-links.js'
import type { PeerMessage } from '../../peers/peer-message.js'

/** How long a grant holds until its run begins, and if nothing is heard of the run, ms: a request may give up while it waits for a server. */
const GRANT_TIME = 500
const RUN_TIME = 5_000
/** How long a daemon asks in vain until it tries the part itself, ms: it may be cut off from the one that grants. */
const MAX_ASK_TIME = 600
/** How long a daemon may hold a grant while others ask for it, ms: of a suspect part until several trials may run, and otherwise. */
const MAX_HOLD_TIME = 5_000
const MAX_CALM_HOLD_TIME = 500
/** How long after a request for a trial its daemon goes before the one that held the trial, ms. */
const WANTED_TIME = 1_000
/** After this long without a request for a trial, ms, a daemon counts anew since when it asks. */
const MAX_ASK_GAP = 2_000
/** Interval between two requests for a trial of the same part, ms. */
const ASK_PERIOD = 100
/** How long an answer holds by which another daemon tries the part, ms. */
const BUSY_TIME = 300
/** How long another daemon's trial without a grant is taken to run, ms. */
const BEGUN_TIME = 2_500

/** A daemon with a trial, granted or begun: since and until when it holds, and when another one last asked for it, monotonic ms. */
interface Holder { readonly daemon: string, readonly hasBegun: boolean, readonly since: number, readonly until: number, readonly wantedAt?: number }

interface PartTrialsOptions {
  readonly clock: Clock
  readonly settings: Pick<Settings, 'instance'>
  readonly members: Pick<Members, 'owners'>
  readonly links: Pick<PeerLinks, 'send'>
  /** Returns how many trials of a part may run at a time in the fleet; undefined for a suspect one until several may. */
  readonly findLimit?: (part: string) => number | undefined
}

/**
 * Limits how many requests with a suspect part, and items with a refused one, run at a time in the whole fleet: one, and more once trials pass.
 * For each part one daemon, by rendezvous hashing, grants its trials; a daemon that it leaves without an answer tries the part itself. Then,
 * and while daemons disagree about the members, there may be more.
 */
export class PartTrials {
  /** Trials granted to this daemon that haven't begun, by part: when they end, monotonic ms. */
  private readonly granted = new Map<string, number>()
  private readonly askedAt = new Map<string, number>()
  /** Trials that this daemon runs, by part: until when others wait for their end, monotonic ms, in order. */
  private readonly running = new Map<string, readonly number[]>()
  /** Until when another daemon is taken to try the part, monotonic ms. */
  private readonly busyUntil = new Map<string, number>()
  /** Until when another daemon is taken to try the part without a grant, monotonic ms. */
  private readonly begunUntil = new Map<string, number>()
  /** Since when this daemon asks, by part; it counts anew once an answer comes or its own trial ends. */
  private readonly askingSince = new Map<string, number>()
  /** Trials granted by this daemon, by part. */
  private readonly holders = new Map<string, readonly Holder[]>()

  constructor (private readonly options: PartTrialsOptions) {}

  /** Whether this daemon may begin a trial of the part; asks for it if not. */
  mayBegin (part: string): boolean {
    const now = this.options.clock.now()
    if (this.listRunning(part).length >= this.findLimit(part)) return false
    const isGranted = (): boolean => now < (this.granted.get(part) ?? -Infinity)
    const askedAt = this.askedAt.get(part) ?? -Infinity
    if (now < askedAt + ASK_PERIOD) return isGranted()
    if (now >= Math.max(askedAt, this.askingSince.get(part) ?? -Infinity) + MAX_ASK_GAP) this.askingSince.delete(part)
    this.askedAt.set(part, now)
    const since = this.askingSince.get(part) ?? now
    this.askingSince.set(part, since)
    if (now >= since + MAX_ASK_TIME) this.receiveGrant(part)
    else this.send({ type: 'part trial ask', part, begun: false })
    return isGranted()
  }

  /** Begins the trial, if it is granted; returns whether it is. */
  take (part: string): boolean {
    if (!this.mayBegin(part)) return false
    this.granted.delete(part)
    this.askingSince.delete(part)
    this.running.set(part, [...this.listRunning(part), this.options.clock.now() + RUN_TIME])
    this.send({ type: 'part trial ask', part, begun: true })
    return true
  }

  /** Ends a trial that `take` began. */
  end (part: string): void {
    this.askingSince.delete(part)
    const others = this.listRunning(part).slice(1)
    if (others.length > 0) this.running.set(part, others)
    else this.running.delete(part)
    this.send({ type: 'part trial done', part })
  }

  /** Forgets a part that is no longer suspect. */
  forget (part: string): void {
    this.granted.delete(part)
    this.askedAt.delete(part)
    this.askingSince.delete(part)
    this.holders.delete(part)
    this.running.delete(part)
    this.busyUntil.delete(part)
    this.begunUntil.delete(part)
  }

  /**
   * Another daemon, or this one, asks for a trial, or has `begun` the one that it was granted. One that can't begin it keeps the grant by asking
   * again, but not for long while others ask.
   */
  receiveAsk (part: string, from: string, begun: boolean): void {
    const now = this.options.clock.now()
    const holders = this.holders.get(part) ?? []
    const own = holders.find(({ daemon, hasBegun }) => daemon === from && !hasBegun)
    const others = holders.filter(holder => holder !== own && now < holder.until)
    if (others.length >= this.findLimit(part)) {
      this.holders.set(part, others.map(holder => ({ ...holder, wantedAt: now })))
      return this.answer(from, { type: 'part trial busy', part })
    }
    if (begun) {
      this.holders.set(part, [...others, { daemon: from, hasBegun: true, since: now, until: now + RUN_TIME }])
      return
    }
    const since = own !== undefined && now < own.until + WANTED_TIME ? own.since : now
    const isWanted = now < (own?.wantedAt ?? -Infinity) + WANTED_TIME
    if (isWanted && now >= since + (this.options.findLimit?.(part) === undefined ? MAX_HOLD_TIME : MAX_CALM_HOLD_TIME)) return this.answer(from, { type: 'part trial busy', part })
    this.holders.set(part, [...others, { daemon: from, hasBegun: false, since, until: now + GRANT_TIME, ...own?.wantedAt !== undefined && { wantedAt: own.wantedAt } }])
    this.answer(from, { type: 'part trial', part })
  }

  receiveGrant (part: string): void {
    this.askingSince.delete(part)
    this.granted.set(part, this.options.clock.now() + GRANT_TIME)
  }

  /** Another daemon tries the part. */
  receiveBusy (part: string): void {
    this.askingSince.delete(part)
    this.busyUntil.set(part, this.options.clock.now() + BUSY_TIME)
  }

  /** Another daemon has begun a trial without a grant. */
  receiveBegun (part: string): void {
    this.begunUntil.set(part, this.options.clock.now() + BEGUN_TIME)
  }

  /** Returns until when another daemon's trial without a grant is taken to run, monotonic ms. */
  findBegunUntil (part: string): number {
    return this.begunUntil.get(part) ?? -Infinity
  }

  /** Whether a request tries the part now, as far as is known. */
  isBusy (part: string): boolean {
    return this.options.clock.now() < (this.busyUntil.get(part) ?? -Infinity) || this.listRunning(part).length > 0
  }

  receiveDone (part: string, from: string): void {
    const holders = this.holders.get(part) ?? []
    const ended = holders.find(({ daemon, hasBegun }) => daemon === from && hasBegun) ?? holders.find(({ daemon }) => daemon === from)
    const others = holders.filter(holder => holder !== ended)
    if (others.length > 0) this.holders.set(part, others)
    else this.holders.delete(part)
  }

  private findLimit (part: string): number {
    return this.options.findLimit?.(part) ?? 1
  }

  private listRunning (part: string): readonly number[] {
    return (this.running.get(part) ?? []).filter(until => this.options.clock.now() < until)
  }

  private answer (to: string, message: PeerMessage & { readonly part: string }): void {
    const { settings: { instance }, links } = this.options
    if (to !== instance) links.send(to, message)
    else if (message.type === 'part trial') this.receiveGrant(message.part)
    else this.receiveBusy(message.part)
  }

  private send (message: PeerMessage & { readonly part: string }): void {
    const { settings: { instance }, members, links } = this.options
    const granter = rankOwners(message.part, members.owners())[0] ?? instance
    if (granter !== instance) links.send(granter, message)
    else if (message.type === 'part trial ask') this.receiveAsk(message.part, instance, message.begun === true)
    else this.receiveDone(message.part, instance)
  }
}
