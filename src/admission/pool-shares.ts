import { inject, Lifecycle, scoped } from 'tsyringe'
import { rankOwners } from '../coordination/rank-owners.js'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import { Members } from '../peers/members.js'
import { peerHandlerPoint } from '../peers/peer-handler-point.js'
import { PeerLinks } from '../peers/peer-links.js'
import type { PeerMessage } from '../peers/peer-message.js'
import { Servers } from '../routing/servers.js'
import { DemandMeter } from './demand-meter.js'
import type { PoolDemand } from './pool-demand.js'
import type { PoolAllocation } from './pool-allocation.js'
import { splitPool } from './split-pool.js'

const SHORTEST_PERIOD = 500
/** Added to the period for each daemon, ms, so that the one that splits sends the same bytes in any fleet. */
const PERIOD_PER_DAEMON = 100
/** Periods for which a pool counts as crowded after the last word of it. */
const CROWDED_PERIODS = 4
/**
 * Periods for which what a daemon told, and a part that it was told, hold. A daemon that stands still for seconds is still a
 * member; had its word lapsed, all parts would be even until it tells again, and callers that use one daemon lose theirs
 * each time. This is longer than members need to find that one is gone, and then its word goes with it.
 */
const VALID_PERIODS = 16

/** Places that a daemon keeps of a pool though its callers ask for none now. */
const MIN_SLOTS = 2

interface DemandSource {
  /** Expected time of a place, ms. */
  readonly holdTime: number
  /** By caller: requests that wait. */
  countWaiting (): ReadonlyMap<string, number>
}

interface PoolState {
  readonly meter: DemandMeter
  queue?: DemandSource
  crowded: boolean
  allocation?: PoolAllocation & { readonly until: number }
}

/** Another daemon's demand, at the one that splits the pool. */
interface ReportedDemand { readonly demand: PoolDemand, readonly at: number }

interface Split { readonly demands: Map<string, ReportedDemand>, crowdedUntil: number }

/**
 * Makes shares hold over several daemons. Each gate is fair among the requests that come to it, and each daemon has an
 * even part of the servers' places: callers that use one daemon only, beside one that uses all, got a third of their
 * shares. While requests wait anywhere for a pool, each daemon tells one of them, by rendezvous, what its callers ask;
 * that one splits the pool by it (`splitPool`) and tells each daemon its part. Nothing is told while nobody waits.
 *
 * Nothing here has to be right for a promise to hold: parts that lapse, or that two daemons split, cost fairness for a
 * few periods, and a server's limit is exceeded by no more than the parts told twice.
 */
@scoped(Lifecycle.ContainerScoped)
export class PoolShares implements Part {
  readonly extensions = [
    peerHandlerPoint.of({ type: 'pool-demand', handle: (message, from) => { this.receiveDemand(message, from) } }),
    peerHandlerPoint.of({ type: 'pool-part', handle: message => { this.applyAllocation(message) } })
  ]

  private readonly pools = new Map<string, PoolState>()
  private readonly splits = new Map<string, Split>()
  private last: number
  private cancel = (): void => {}

  constructor (
    @inject(Members) private readonly members: Members,
    @inject(PeerLinks) private readonly links: PeerLinks,
    @inject(Servers) private readonly servers: Servers,
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(tokens.clock) private readonly clock: Clock
  ) {
    this.last = clock.now()
  }

  async start (): Promise<void> {
    this.cancel = this.clock.every(SHORTEST_PERIOD, () => { if (this.clock.now() - this.last >= this.readPeriod() - 1) this.tick() })
  }

  async stop (): Promise<void> {
    this.cancel()
  }

  /** Notes a request that came to this daemon; `waits` where it found no place. */
  count (pool: string, caller: string, { share, queue, waits }: { readonly share: number, readonly queue: DemandSource, readonly waits: boolean }): void {
    const state = this.pools.get(pool) ?? { meter: new DemandMeter(), crowded: false }
    this.pools.set(pool, state)
    state.meter.count(caller, share)
    state.queue = queue
    state.crowded ||= waits
  }

  /** What the caller's share is multiplied by at this daemon. */
  getFactor (pool: string, caller: string): number {
    const allocation = this.pools.get(pool)?.allocation
    return allocation === undefined || allocation.until <= this.clock.now() ? 1 : allocation.factors.get(caller) ?? 1
  }

  private readPeriod (): number {
    return Math.max(SHORTEST_PERIOD, PERIOD_PER_DAEMON * this.members.owners().length)
  }

  private tick (): void {
    const now = this.clock.now()
    const owners = this.members.owners()
    for (const [pool, state] of this.pools) {
      const demand = state.meter.read(now - this.last, state.queue?.holdTime ?? 0, state.queue?.countWaiting())
      if (state.allocation !== undefined && state.allocation.until <= now) this.dropAllocation(pool)
      if (owners.length > 1 && (state.crowded || state.allocation !== undefined)) this.reportDemand(pool, demand, state.crowded)
      state.crowded = false
    }
    this.last = now
    for (const [pool, split] of this.splits) this.split(pool, split)
  }

  private dropAllocation (pool: string): void {
    const state = this.pools.get(pool)
    if (state?.allocation === undefined) return
    state.allocation = undefined
    this.servers.setFraction(pool, undefined)
  }

  private findSplitter (pool: string): string | undefined {
    return rankOwners(`shares/${pool}`, this.members.owners())[0]
  }

  private reportDemand (pool: string, demand: PoolDemand, crowded: boolean): void {
    const message = { type: 'pool-demand', pool, crowded, demand: [...demand].map(([caller, { share, slots }]) => [caller, share, Math.round(slots * 100)]) }
    const to = this.findSplitter(pool)
    if (to === this.settings.instance) this.receiveDemand(message, to)
    else if (to !== undefined) this.links.send(to, message, `pool-demand ${pool}`)
  }

  private receiveDemand ({ pool, demand, crowded }: PeerMessage, from: string): void {
    if (typeof pool !== 'string' || !Array.isArray(demand)) return
    const now = this.clock.now()
    const split = this.splits.get(pool) ?? { demands: new Map<string, ReportedDemand>(), crowdedUntil: now }
    this.splits.set(pool, split)
    const rows = demand as ReadonlyArray<readonly [string, number, number]>
    split.demands.set(from, { at: now, demand: new Map(rows.map(([caller, share, slots]) => [caller, { share, slots: slots / 100 }])) })
    if (crowded === true) split.crowdedUntil = now + CROWDED_PERIODS * this.readPeriod()
  }

  /** Until every daemon has told, its part stays the even one: what isn't known may be all that it has. */
  private split (pool: string, { demands, crowdedUntil }: Split): void {
    const now = this.clock.now()
    const owners = this.members.owners()
    for (const [daemon, { at }] of demands) if (now - at > VALID_PERIODS * this.readPeriod() || !owners.includes(daemon)) demands.delete(daemon)
    const isSplitter = this.findSplitter(pool) === this.settings.instance
    if (now >= crowdedUntil || !isSplitter) {
      this.splits.delete(pool)
      if (isSplitter) for (const daemon of owners) this.sendAllocation(daemon, { type: 'pool-part', pool, over: true })
      return
    }
    const capacity = this.servers.sumLimits(pool)
    const parts = capacity === undefined || demands.size < owners.length ? undefined : splitPool(new Map([...demands].map(([daemon, { demand }]) => [daemon, demand])), capacity)
    for (const daemon of owners) {
      const { fraction = 1 / owners.length, factors = new Map<string, number>() } = parts?.get(daemon) ?? {}
      this.sendAllocation(daemon, { type: 'pool-part', pool, fraction, factors: [...factors].map(([caller, factor]) => [caller, Math.round(factor * 1_000)]) })
    }
  }

  private sendAllocation (daemon: string, message: PeerMessage & { readonly pool: string }): void {
    if (daemon === this.settings.instance) this.applyAllocation(message)
    else this.links.send(daemon, message, `pool-part ${message.pool}`)
  }

  private applyAllocation ({ pool, fraction, factors, over }: PeerMessage): void {
    if (typeof pool !== 'string') return
    if (over === true) return this.dropAllocation(pool)
    if (typeof fraction !== 'number' || !Array.isArray(factors)) return
    const state = this.pools.get(pool) ?? { meter: new DemandMeter(), crowded: false }
    this.pools.set(pool, state)
    const rows = factors as ReadonlyArray<readonly [string, number]>
    // A caller that asks next to nothing here keeps a little of its share for when it asks again.
    state.allocation = { fraction, until: this.clock.now() + VALID_PERIODS * this.readPeriod(), factors: new Map(rows.map(([caller, factor]) => [caller, Math.max(0.01, factor / 1_000)])) }
    this.servers.setFraction(pool, Math.max(fraction, MIN_SLOTS / (this.servers.sumLimits(pool) ?? Infinity)))
  }
}

partRegistry.register({ name: 'pool shares', part: PoolShares, needs: ['servers', 'members', 'peer links'] })
