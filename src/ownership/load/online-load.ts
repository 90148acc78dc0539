import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../../kernel/clock.js'
import type { Part } from '../../kernel/part.js'
import { partRegistry } from '../../kernel/part-registry.js'
import type { Settings } from '../../kernel/settings.js'
import { tokens } from '../../kernel/tokens.js'
import { Members } from '../../peers/members.js'
import { peerHandlerPoint } from '../../peers/peer-handler-point.js'
import { PeerLinks } from '../../peers/peer-links.js'
import type { PeerMessage } from '../../peers/peer-message.js'
import { exchangeObserverPoint } from '../../routing/exchanges/exchange-observer-point.js'
import type { ServerRequest } from '../../routing/exchanges/server-request.js'
import { countOnline } from './count-online.js'
import type { OnlineCountsEvent } from './online-counts-event.js'
import type { OnlineCountsState } from './online-counts-state.js'
import { ServerOwners } from '../server-owners.js'
import { stepOnlineCounts } from './step-online-counts.js'

/**
 * How long a change waits to be reported together with others, ms. The end of a request is as urgent as its start:
 * batch work leaves the server idle until the owner knows of it.
 */
const REPORT_DELAY = 3
/** How often the daemon checks for reports that have to be repeated, ms. */
const CHECK_PERIOD = 1_000
/**
 * How often unchanged counts are reported again, ms. Reports lost with their connection are repeated within
 * `CHECK_PERIOD` over the next one; this covers any other loss.
 */
const REPEAT_PERIOD = 5_000
/**
 * First protocol version whose daemons keep counts for longer than 3.5 s; earlier ones need a report every
 * `CHECK_PERIOD`.
 */
const LONG_LIFETIME_VERSION = 3
const MESSAGE_TYPE = 'online'

/** The last report sent to an owner: when, over which session, and whether it was empty. */
interface SentReport { readonly at: number, readonly session: ReturnType<PeerLinks['findSession']>, readonly empty: boolean }

/**
 * Online requests in flight at backend servers. Each daemon reports its own to the server's owner as they begin and
 * end, and the owner adds up all reports. Batch admission thus learns of an online request within one network hop, long
 * before the server's own load report shows it.
 */
@scoped(Lifecycle.ContainerScoped)
export class OnlineLoad implements Part {
  readonly extensions = [
    exchangeObserverPoint.of({
      onBegin: (request, server) => this.updateOwn(request, server, 1),
      onEnd: (request, server) => this.updateOwn(request, server, -1)
    }),
    peerHandlerPoint.of({ type: MESSAGE_TYPE, handle: (message, from) => this.receive(message, from) })
  ]

  /** Online requests of this daemon, by server. */
  private readonly own = new Map<string, number>()
  private state: OnlineCountsState = { servers: new Map(), newest: new Map() }
  private readonly scheduled = new Map<string, () => void>()
  private readonly listeners = new Set<(server: string) => void>()
  private readonly sent = new Map<string, SentReport>()
  private lastNumber: number
  private cancel = (): void => {}

  constructor (
    @inject(ServerOwners) private readonly owners: ServerOwners,
    @inject(Members) private readonly members: Members,
    @inject(PeerLinks) private readonly links: PeerLinks,
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(tokens.clock) private readonly clock: Clock
  ) {
    this.lastNumber = clock.date()
  }

  async start (): Promise<void> {
    this.cancel = this.clock.every(CHECK_PERIOD, () => this.repeatReports())
  }

  async stop (): Promise<void> {
    this.cancel()
    for (const cancel of this.scheduled.values()) cancel()
  }

  /** Returns the online requests in flight at a server that this daemon owns. */
  count (server: string): number {
    return countOnline(this.state, server)
  }

  /** Calls `listener` with each server whose count has changed. */
  subscribe (listener: (server: string) => void): void {
    this.listeners.add(listener)
  }

  private updateOwn ({ work }: ServerRequest, server: string, by: number): void {
    if (work !== 'online') return
    const count = (this.own.get(server) ?? 0) + by
    if (count > 0) this.own.set(server, count)
    else this.own.delete(server)
    const owner = this.owners.findOwner(server)
    if (owner === this.settings.instance) this.report(owner)
    else if (owner !== undefined) this.schedule(owner)
  }

  private schedule (owner: string): void {
    if (!this.scheduled.has(owner)) this.scheduled.set(owner, this.clock.after(REPORT_DELAY, () => this.report(owner)))
  }

  private report (owner: string): void {
    this.scheduled.get(owner)?.()
    this.scheduled.delete(owner)
    const counts = [...this.own].filter(([server]) => this.owners.findOwner(server) === owner)
    const number = ++this.lastNumber
    if (owner === this.settings.instance) this.apply({ type: 'told', reporter: owner, number, counts: new Map(counts) })
    else this.links.send(owner, { type: MESSAGE_TYPE, number, counts: Object.fromEntries(counts) }, MESSAGE_TYPE)
    this.sent.set(owner, { at: this.clock.now(), session: this.links.findSession(owner), empty: counts.length === 0 })
  }

  /** Repeats reports that may not have arrived, which covers lost frames and new owners. */
  private repeatReports (): void {
    const alive = new Set(this.members.all().map(({ instance }) => instance.name))
    for (const owner of this.sent.keys()) if (!alive.has(owner)) this.sent.delete(owner)
    const owners = [...this.own.keys()].map(server => this.owners.findOwner(server))
    for (const owner of new Set([...this.sent.keys(), ...owners])) {
      if (owner === undefined) continue
      if (this.isDue(owner)) this.report(owner)
      else if (this.sent.get(owner)?.empty === true) this.sent.delete(owner)
    }
    for (const reporter of this.state.newest.keys()) if (!alive.has(reporter)) this.apply({ type: 'lost', reporter })
    this.apply({ type: 'tick' })
  }

  private isDue (owner: string): boolean {
    const sentReport = this.sent.get(owner)
    if (sentReport === undefined) return true
    if (owner === this.settings.instance) return !sentReport.empty
    const session = this.links.findSession(owner)
    if (session === undefined || session !== sentReport.session) return true
    if (sentReport.empty) return false
    return session.agreedVersion < LONG_LIFETIME_VERSION || this.clock.now() >= sentReport.at + REPEAT_PERIOD
  }

  private receive ({ number, counts }: PeerMessage, from: string): void {
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
