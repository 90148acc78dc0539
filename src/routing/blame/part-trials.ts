import { rankOwners } from '../../coordination/rank-owners.js'
import type { Clock } from '../../kernel/clock.js'
import type { Settings } from '../../kernel/settings.js'
import type { Members } from '../../peers/members.js'
import type { PeerLinks } from '../../peers/peer-links.js'
import type { PeerMessage } from '../../peers/peer-message.js'

/** How long a grant holds if nothing is heard of its run, ms. */
const GRANT_TIME = 5_000
/** How long a daemon asks in vain until it tries the part itself, ms: it may be cut off from the one that grants. */
const MAX_ASK_TIME = 600
/** How long after a request for a trial its daemon goes before the one that held the trial, ms. */
const WANTED_TIME = 1_000
/** After this long without a request for a trial, ms, a daemon counts anew since when it asks. */
const MAX_ASK_GAP = 2_000
/** Interval between two requests for a trial of the same part, ms. */
const ASK_PERIOD = 100

/** A daemon with a trial: until when it holds, and when another one last asked for it, monotonic ms. */
interface Holder { readonly daemon: string, readonly until: number, readonly wantedAt?: number }

interface PartTrialsOptions {
  readonly clock: Clock
  readonly settings: Pick<Settings, 'instance'>
  readonly members: Pick<Members, 'owners'>
  readonly links: Pick<PeerLinks, 'send'>
}

/**
 * Lets one request with a suspect part run at a time in the whole fleet. For each part one daemon, by rendezvous hashing, grants its trials;
 * a daemon that it leaves without an answer tries the part itself. Then, and while daemons disagree about the members, there may be several.
 */
export class PartTrials {
  /** Trials granted to this daemon that haven't begun, by part: when they end, monotonic ms. */
  private readonly granted = new Map<string, number>()
  private readonly askedAt = new Map<string, number>()
  /** Since when this daemon asks, by part; it counts anew once an answer comes or its own trial ends. */
  private readonly askingSince = new Map<string, number>()
  /** Trials granted by this daemon, by part. */
  private readonly holders = new Map<string, Holder>()

  constructor (private readonly options: PartTrialsOptions) {}

  /** Whether this daemon may begin a trial of the part; asks for it if not. */
  mayBegin (part: string): boolean {
    const { clock } = this.options
    if (clock.now() < (this.granted.get(part) ?? -Infinity)) return true
    const askedAt = this.askedAt.get(part) ?? -Infinity
    if (clock.now() < askedAt + ASK_PERIOD) return false
    if (clock.now() >= Math.max(askedAt, this.askingSince.get(part) ?? -Infinity) + MAX_ASK_GAP) this.askingSince.delete(part)
    this.askedAt.set(part, clock.now())
    const since = this.askingSince.get(part) ?? clock.now()
    this.askingSince.set(part, since)
    if (clock.now() >= since + MAX_ASK_TIME) this.receiveGrant(part)
    else this.send({ type: 'part trial ask', part })
    return clock.now() < (this.granted.get(part) ?? -Infinity)
  }

  /** Begins the trial, if it is granted; returns whether it is. */
  take (part: string): boolean {
    const { clock } = this.options
    const isGranted = this.mayBegin(part)
    this.granted.delete(part)
    this.askingSince.set(part, clock.now() + GRANT_TIME)
    return isGranted
  }

  /** Ends a trial that `take` began. */
  end (part: string): void {
    this.askingSince.delete(part)
    this.send({ type: 'part trial done', part })
  }

  /** Forgets a part that is no longer suspect. */
  forget (part: string): void {
    this.granted.delete(part)
    this.askedAt.delete(part)
    this.askingSince.delete(part)
    this.holders.delete(part)
  }

  /** Grants a trial for `GRANT_TIME` at most: a daemon may be unable to begin it. After that another one that asks goes first. */
  receiveAsk (part: string, from: string): void {
    const { clock } = this.options
    const now = clock.now()
    const holder = this.holders.get(part)
    const isHeld = holder !== undefined && now < holder.until
    if (isHeld && holder.daemon !== from) {
      this.holders.set(part, { ...holder, wantedAt: now })
      return this.answer(from, { type: 'part trial busy', part })
    }
    if (!isHeld && holder?.daemon === from && now < (holder.wantedAt ?? -Infinity) + WANTED_TIME) return this.answer(from, { type: 'part trial busy', part })
    if (!isHeld) this.holders.set(part, { daemon: from, until: now + GRANT_TIME })
    this.answer(from, { type: 'part trial', part })
  }

  receiveGrant (part: string): void {
    this.askingSince.delete(part)
    this.granted.set(part, this.options.clock.now() + GRANT_TIME)
  }

  /** Another daemon tries the part. */
  receiveBusy (part: string): void {
    this.askingSince.delete(part)
  }

  receiveDone (part: string, from: string): void {
    if (this.holders.get(part)?.daemon === from) this.holders.delete(part)
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
    else if (message.type === 'part trial ask') this.receiveAsk(message.part, instance)
    else this.receiveDone(message.part, instance)
  }
}
