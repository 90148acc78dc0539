import { inject, Lifecycle, scoped } from 'tsyringe'
import { rankOwners } from '../../coordination/rank-owners.js'
import type { Clock } from '../../kernel/clock.js'
import type { Part } from '../../kernel/part.js'
import { partRegistry } from '../../kernel/part-registry.js'
import type { Settings } from '../../kernel/settings.js'
import { tokens } from '../../kernel/tokens.js'
import { Members } from '../../peers/members.js'
import { peerHandlerPoint } from '../../peers/peer-handler-point.js'
import { PeerLinks } from '../../peers/peer-links.js'
import type { PeerMessage } from '../../peers/peer-message.js'
import { Servers } from '../../routing/servers/servers.js'
import { DemandMeter } from './demand-meter.js'
import type { PoolDemand } from './pool-demand.js'
import type { PoolAllocation } from './pool-allocation.js'
import { splitPool } from './split-pool.js'

/** Shortest period between two reports, ms. */
const SHORTEST_PERIOD = 500
/** Added to the period for each daemon, ms, so that the bandwidth of the daemon that splits a pool doesn't grow with the fleet. */
const PERIOD_PER_DAEMON = 100
/** Periods for which a pool counts as crowded after the last report that it is. */
const CROWDED_PERIODS = 4
/**
 * Periods for which a reported demand and a received allocation are valid. A daemon that is paused for seconds is still a
 * member; if its report expired, all allocations would be even until its next one, and callers that use one daemon would lose
 * theirs each time. The time is longer than members take to detect that a daemon is gone, and its report is dropped then.
 */
const VALID_PERIODS = 16

/** Slots of a pool that a daemon keeps even if its callers have no demand. */
const MIN_SLOTS = 2

interface DemandSource {
  /** Expected time for which a request holds its slot, ms. */
  readonly holdTime: number
  /** Returns the number of waiting requests by caller. */
  countWaiting (): ReadonlyMap<string, number>
}

interface PoolState {
  readonly meter: DemandMeter
  queue?: DemandSource
  crowded: boolean
  allocation?: PoolAllocation & { readonly until: number }
}

/** The demand that a daemon reported to the one that splits the pool. */
interface ReportedDemand { readonly demand: PoolDemand, readonly at: number }

interface Split { readonly demands: Map<string, ReportedDemand>, crowdedUntil: number }

/**
 * Applies shares across daemons. Each gate is fair only among its own requests, and by default each daemon has an even part of
 * the capacity, so that a caller that uses one daemon gets less than its share beside one that uses all. While requests wait
 * anywhere for a pool, each daemon reports the demand of its callers to one daemon, chosen by rendezvous hashing. That daemon
 * splits the pool by demand (`splitPool`) and sends each daemon its allocation. Nothing is sent while no request waits.
 *
 * No guarantee depends on this. Allocations that expire, or that two daemons send, cost fairness for a few periods, and a
 * server's limit is exceeded by no more than what was allocated twice.
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

  /** Records a request at this daemon; `waits` if it found no free slot. */
  count (pool: string, caller: string, { share, queue, waits }: { readonly share: number, readonly queue: DemandSource, readonly waits: boolean }): void {
    const state = this.pools.get(pool) ?? { meter: new DemandMeter(), crowded: false }
    this.pools.set(pool, state)
    state.meter.count(caller, share)
    state.queue = queue
    state.crowded ||= waits
  }

  /** Returns the factor on the share of a caller at this daemon. */
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

  /**
   * Splits a pool and sends the allocations. They are even until every daemon has reported: a daemon that hasn't may be using
   * all of its part.
   */
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
    // A caller with hardly any demand here keeps a little of its share for its next requests.
    state.allocation = { fraction, until: this.clock.now() + VALID_PERIODS * this.readPeriod(), factors: new Map(rows.map(([caller, factor]) => [caller, Math.max(0.01, factor / 1_000)])) }
    this.servers.setFraction(pool, Math.max(fraction, MIN_SLOTS / (this.servers.sumLimits(pool) ?? Infinity)))
  }
}

partRegistry.register({ name: 'pool shares', part: PoolShares, needs: ['servers', 'members', 'peer links'] })
