import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { tokens } from '../kernel/tokens.js'
import type { BackendServer } from '../routing/servers/backend-server.js'
import { exchangeObserverPoint } from '../routing/exchanges/exchange-observer-point.js'
import { Servers } from '../routing/servers/servers.js'
import { InstanceList } from '../store/instance-list.js'
import type { CandidateServer } from './candidate-server.js'
import type { LoadCounts } from './load-counts.js'
import { OutcomeCounter } from './outcome-counter.js'
import { EventIntervals } from './pace/event-intervals.js'

/** Slots of a server whose store entry doesn't specify them. */
const DEFAULT_SLOTS = 8
/** How long a server that reported itself full isn't used, ms: a few steps of its engine. */
const FULL_FOR = 40
const CHECK_PERIOD = 500

/** Counts this daemon's requests in flight at each backend server and tracks which servers it may use. */
@scoped(Lifecycle.ContainerScoped)
export class ServerLoads implements Part {
  readonly extensions = [
    exchangeObserverPoint.of({
      onBegin: ({ work }, server) => this.count(server, work, 1),
      onEnd: ({ work }, server, outcome) => {
        if (outcome !== 'abandoned') this.outcomes.record(server, outcome !== 'answered', work)
        this.count(server, work, -1)
      }
    })
  ]

  /** How this daemon's requests ended at each server. */
  readonly outcomes = new OutcomeCounter()
  /** Intervals between the events of this daemon's streams at each server. */
  readonly intervals = new EventIntervals()

  private readonly own = new Map<string, { online: number, batch: number }>()
  private readonly fullUntil = new Map<string, number>()
  private readonly listeners = new Set<() => void>()
  private cancel = (): void => {}

  constructor (
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(InstanceList) private readonly list: InstanceList,
    @inject(Servers) private readonly servers: Servers
  ) {}

  async start (): Promise<void> {
    this.list.subscribe(() => this.notify())
    this.cancel = this.clock.every(CHECK_PERIOD, () => this.check())
  }

  async stop (): Promise<void> {
    this.cancel()
  }

  /** Lists the servers of the pool that accept requests: not leaving, not ejected after failures, not recently full. */
  listCandidates (pool: string): readonly CandidateServer[] {
    return this.servers.inPool(pool)
      .filter(server => this.isAvailable(server))
      .map(server => this.buildCandidate(server))
  }

  /** Returns a server that accepts requests; undefined for any other. */
  findCandidate (name: string): CandidateServer | undefined {
    const server = this.servers.find(name)
    return server !== undefined && this.isAvailable(server) ? this.buildCandidate(server) : undefined
  }

  /** Returns a server that accepts no online requests of this daemon, but which an item may probe; undefined for any other. */
  findItemProbe (name: string): CandidateServer | undefined {
    const server = this.servers.find(name)
    return server !== undefined && !this.isAvailable(server) && this.mayItemProbe(server) ? this.buildCandidate(server) : undefined
  }

  /** Returns how many requests the server runs concurrently. */
  countSlots (server: string): number {
    return this.list.find(server)?.slots ?? DEFAULT_SLOTS
  }

  /** Returns whether the server is registered and not leaving, and its process hasn't exited. */
  isOpen (server: string): boolean {
    const instance = this.list.find(server)
    return instance?.state === 'live' && !this.servers.hasExited(instance)
  }

  /** Lists the live servers of the pool whose software has the version. */
  listOfVersion (pool: string, version: string): readonly string[] {
    return this.list.all.filter(({ name, pool: other, state }) => other === pool && state === 'live' && this.servers.findVersion(name) === version).map(({ name }) => name)
  }

  /** Lists the servers of the pool that `listCandidates` leaves out. */
  listUnavailable (pool: string): readonly string[] {
    return this.servers.inPool(pool).filter(server => !this.isAvailable(server)).map(({ name }) => name)
  }

  /** Lists the servers of the pool that no item of this daemon may use. */
  listUnavailableToItems (pool: string): readonly string[] {
    return this.servers.inPool(pool).filter(server => !this.isAvailable(server) && !this.mayItemProbe(server)).map(({ name }) => name)
  }

  /** This daemon's in-flight counts by server. */
  get ownCounts (): ReadonlyMap<string, LoadCounts> {
    return this.own
  }

  /** Excludes a server for a short time after it refused a request as full. */
  markFull (server: string): void {
    this.fullUntil.set(server, this.clock.now() + FULL_FOR)
    this.clock.after(FULL_FOR, () => this.notify())
  }

  /** Calls `listener` after each change of a count or of the servers. */
  subscribe (listener: () => void): void {
    this.listeners.add(listener)
  }

  private isAvailable ({ name, leaving, inFlight, limit }: BackendServer): boolean {
    return !leaving && inFlight < limit && this.clock.now() >= (this.fullUntil.get(name) ?? 0)
  }

  private mayItemProbe ({ name, leaving, isItemProbeDue = false }: BackendServer): boolean {
    return isItemProbeDue && !leaving && (this.own.get(name)?.batch ?? 0) === 0 && this.clock.now() >= (this.fullUntil.get(name) ?? 0)
  }

  private buildCandidate ({ name: server, failureDomain, version }: BackendServer): CandidateServer {
    const { online, batch } = this.own.get(server) ?? { online: 0, batch: 0 }
    return { server, failureDomain, version, slots: this.countSlots(server), online, batch, ownBatch: batch }
  }

  private count (server: string, work: 'online' | 'batch', by: number): void {
    const counts = this.own.get(server) ?? { online: 0, batch: 0 }
    counts[work] += by
    if (counts.online === 0 && counts.batch === 0) this.own.delete(server)
    else this.own.set(server, counts)
    this.notify()
  }

  private check (): void {
    const now = this.clock.now()
    for (const [server, until] of this.fullUntil) if (now > until) this.fullUntil.delete(server)
    this.notify()
  }

  private notify (): void {
    for (const listener of this.listeners) listener()
  }
}

partRegistry.register({ name: 'server loads', part: ServerLoads, needs: ['servers', 'instance list'] })
