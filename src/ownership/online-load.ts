import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import { Members } from '../peers/members.js'
import { peerHandlerPoint } from '../peers/peer-handler-point.js'
import { PeerLinks } from '../peers/peer-links.js'
import type { PeerMessage } from '../peers/peer-message.js'
import { exchangeObserverPoint } from '../routing/exchange-observer-point.js'
import type { ServerRequest } from '../routing/server-request.js'
import { countOnline } from './count-online.js'
import type { OnlineCountsEvent } from './online-counts-event.js'
import type { OnlineCountsState } from './online-counts-state.js'
import { ServerOwners } from './server-owners.js'
import { stepOnlineCounts } from './step-online-counts.js'

/**
 * How long news waits for more, ms. That of an end is as urgent as that of a beginning: batch leaves the server empty until
 * it comes, which is several steps for each stretch of idle time.
 */
const NEWS_DELAY = 3
const CHECK_PERIOD = 1_000
/**
 * How often a level that hasn't changed is told again, ms. Frames are lost only with their connection, and a level is
 * told again within a second over the next one; this is for what nothing shows to be lost.
 */
const REPEAT_PERIOD = 5_000
/** Daemons of earlier versions of the protocol forget a level after 3.5 s. */
const LONG_KEEP_VERSION = 3
const MESSAGE_TYPE = 'online'

/** What an owner was told last: when, over which session, and whether of nothing more. */
interface Told { readonly at: number, readonly session: ReturnType<PeerLinks['findSession']>, readonly empty: boolean }

/**
 * Online requests in flight at backend servers. Each daemon tells a server's owner of its own, as they begin and end,
 * and the owner adds up what all tell: that is how batch work learns of an online request in one hop, where the
 * server's own report would come too late.
 */
@scoped(Lifecycle.ContainerScoped)
export class OnlineLoad implements Part {
  readonly extensions = [
    exchangeObserverPoint.of({
      onBegin: (request, server) => this.change(request, server, 1),
      onEnd: (request, server) => this.change(request, server, -1)
    }),
    peerHandlerPoint.of({ type: MESSAGE_TYPE, handle: (message, from) => this.hear(message, from) })
  ]

  /** This daemon's own. */
  private readonly own = new Map<string, number>()
  private state: OnlineCountsState = { servers: new Map(), newest: new Map() }
  private readonly due = new Map<string, () => void>()
  private readonly listeners = new Set<(server: string) => void>()
  private readonly told = new Map<string, Told>()
  private number: number
  private cancel = (): void => {}

  constructor (
    @inject(ServerOwners) private readonly owners: ServerOwners,
    @inject(Members) private readonly members: Members,
    @inject(PeerLinks) private readonly links: PeerLinks,
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(tokens.clock) private readonly clock: Clock
  ) {
    this.number = clock.date()
  }

  async start (): Promise<void> {
    this.cancel = this.clock.every(CHECK_PERIOD, () => this.repeat())
  }

  async stop (): Promise<void> {
    this.cancel()
    for (const cancel of this.due.values()) cancel()
  }

  /** Online requests in flight at the server, as its owner knows them. */
  count (server: string): number {
    return countOnline(this.state, server)
  }

  /** `listener` hears of each server whose count has changed. */
  subscribe (listener: (server: string) => void): void {
    this.listeners.add(listener)
  }

  private change ({ work }: ServerRequest, server: string, by: number): void {
    if (work !== 'online') return
    const count = (this.own.get(server) ?? 0) + by
    if (count > 0) this.own.set(server, count)
    else this.own.delete(server)
    const owner = this.owners.findOwner(server)
    if (owner === this.settings.instance) this.tell(owner)
    else if (owner !== undefined) this.plan(owner)
  }

  private plan (owner: string): void {
    if (!this.due.has(owner)) this.due.set(owner, this.clock.after(NEWS_DELAY, () => this.tell(owner)))
  }

  private tell (owner: string): void {
    this.due.get(owner)?.()
    this.due.delete(owner)
    const counts = [...this.own].filter(([server]) => this.owners.findOwner(server) === owner)
    const number = ++this.number
    if (owner === this.settings.instance) this.apply({ type: 'told', reporter: owner, number, counts: new Map(counts) })
    else this.links.send(owner, { type: MESSAGE_TYPE, number, counts: Object.fromEntries(counts) }, MESSAGE_TYPE)
    this.told.set(owner, { at: this.clock.now(), session: this.links.findSession(owner), empty: counts.length === 0 })
  }

  /** Tells again whom a frame may not have reached, so that a lost frame or a new owner heals. */
  private repeat (): void {
    const alive = new Set(this.members.all().map(({ instance }) => instance.name))
    for (const owner of this.told.keys()) if (!alive.has(owner)) this.told.delete(owner)
    const owners = [...this.own.keys()].map(server => this.owners.findOwner(server))
    for (const owner of new Set([...this.told.keys(), ...owners])) {
      if (owner === undefined) continue
      if (this.isDue(owner)) this.tell(owner)
      else if (this.told.get(owner)?.empty === true) this.told.delete(owner)
    }
    for (const reporter of this.state.newest.keys()) if (!alive.has(reporter)) this.apply({ type: 'lost', reporter })
    this.apply({ type: 'tick' })
  }

  private isDue (owner: string): boolean {
    const told = this.told.get(owner)
    if (told === undefined) return true
    if (owner === this.settings.instance) return !told.empty
    const session = this.links.findSession(owner)
    if (session === undefined || session !== told.session) return true
    if (told.empty) return false
    return session.agreedVersion < LONG_KEEP_VERSION || this.clock.now() >= told.at + REPEAT_PERIOD
  }

  private hear ({ number, counts }: PeerMessage, from: string): void {
    if (typeof number !== 'number' || typeof counts !== 'object' || counts === null) return
    const valid = Object.entries(counts).filter(([, count]) => Number.isSafeInteger(count))
    this.apply({ type: 'told', reporter: from, number, counts: new Map(valid) })
  }

  private apply (event: OnlineCountsEvent): void {
    const before = this.state
    this.state = stepOnlineCounts(before, event, this.clock.now())
    for (const server of new Set([...before.servers.keys(), ...this.state.servers.keys()])) {
      if (countOnline(before, server) !== countOnline(this.state, server)) for (const listener of this.listeners) listener(server)
    }
  }
}

partRegistry.register({ name: 'online load', part: OnlineLoad, needs: ['server owners', 'peer links', 'members'] })
