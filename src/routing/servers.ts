import { inject, Lifecycle, scoped } from 'tsyringe'
import { Agent } from 'undici'
import { AdaptiveLimit } from '../coordination/adaptive-limit.js'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import { waitForNext } from '../kernel/wait-for-next.js'
import { createPacedConnector } from './create-paced-connector.js'
import { InstanceList } from '../store/instance-list.js'
import type { BackendServer } from './backend-server.js'
import { Members } from '../peers/members.js'
import { markSent } from './mark-sent.js'
import { planDaemonLimit } from './plan-daemon-limit.js'
import type { ServerHealth } from './server-health.js'
import { spreadRounding } from './spread-rounding.js'
import { ServerViews } from './server-views.js'
import { stepServerHealth } from './step-server-health.js'

/** How long an idle connection is kept for reuse, ms. */
const KEEP_ALIVE = 500
/**
 * How long a new connection to a server may take, ms: many round trips within a region. A server that has gone dark answers
 * nothing; what waits for its connection was not sent, and goes to another one.
 */
const CONNECT_TIMEOUT = 400
/**
 * Least time between two reads of an answer whose parts nobody waits for, ms. Each read wakes the process: an item's events, one
 * in 30 ms, then come six and more in a turn. A slot is taken to be busy for up to this long after its item of some
 * seconds has ended.
 */
const READ_PERIOD = 200
/** How long an owner's count of the other daemons' requests is gone by, ms. */
const COUNT_TTL = 1_000

const connectPaced = createPacedConnector({ timeout: CONNECT_TIMEOUT, period: READ_PERIOD })

/**
 * The backend servers, what this daemon has in flight on each, and its connections to them. Online and batch have
 * connections of their own, so that neither waits behind the other, and so have answers that are read a few times a second.
 *
 * An idle connection may have gone silent: something between the two ends forgot it, and what is sent on it is lost
 * without a word. Its symptom is a request that waits out its whole patience while new connections work. Idle
 * connections are therefore closed after half a second, whatever longer time a server offers; connections in use
 * show their silence by themselves.
 */
@scoped(Lifecycle.ContainerScoped)
export class Servers implements Part {
  private readonly pools = { online: createAgent(256), batch: createAgent(64), paced: createAgent(64, connectPaced) }
  readonly agents = { online: this.pools.online.compose(markSent), batch: this.pools.batch.compose(markSent), paced: this.pools.paced.compose(markSent) }
  private readonly counts = new Map<string, number>()
  private readonly health = new Map<string, ServerHealth>()
  private readonly limits = new Map<string, AdaptiveLimit>()
  private readonly others = new Map<string, { readonly count: number, readonly at: number }>()
  private readonly listeners = new Set<() => void>()
  /** By pool: what this daemon may use of its servers, while that is told. */
  private readonly fractions = new Map<string, number>()

  constructor (
    @inject(InstanceList) private readonly list: InstanceList,
    @inject(ServerViews) private readonly views: ServerViews,
    @inject(Members) private readonly members: Members,
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(tokens.clock) private readonly clock: Clock
  ) {
    views.subscribe(({ server, online }) => {
      this.others.set(server, { count: Math.max(0, online - (this.counts.get(server) ?? 0)), at: clock.now() })
    })
  }

  async stop (): Promise<void> {
    await Promise.all(Object.values(this.pools).map(async pool => await pool.destroy()))
  }

  inPool (pool: string): readonly BackendServer[] {
    const fraction = this.fractions.get(pool)
    const owners = this.members.owners()
    const daemons = Math.max(1, owners.length)
    const daemon = fraction === undefined ? 0 : [...owners].sort().indexOf(this.settings.instance)
    return this.list.all.filter(instance => instance.pool === pool).map(({ name, host, port, failureDomain, state }, server) => {
      const view = this.views.get(name)
      const inFlight = this.counts.get(name) ?? 0
      const others = this.countOthers(name)
      return {
        name,
        pool,
        failureDomain,
        url: `http://${host}:${port}`,
        leaving: state === 'leaving' || (view !== undefined && view.state !== 'open'),
        inFlight,
        load: inFlight + (others ?? 0),
        limit: Math.min(this.readLimit(name), planDaemonLimit({ limit: view?.limit, others, daemons, fraction, rounding: spreadRounding({ server, daemon, daemons }) }))
      }
    })
  }

  /** What this daemon may use of the pool's servers; an even part where that is undefined. */
  setFraction (pool: string, fraction: number | undefined): void {
    if (fraction === undefined) this.fractions.delete(pool)
    else this.fractions.set(pool, fraction)
  }

  /** Requests of all daemons that the pool's servers take at once; undefined while an owner hasn't said. */
  sumLimits (pool: string): number | undefined {
    const limits = this.list.all.filter(instance => instance.pool === pool && instance.state !== 'leaving').map(({ name }) => this.views.get(name)?.limit)
    return limits.reduce<number | undefined>((sum, limit) => sum === undefined || limit === undefined ? undefined : sum + limit, 0)
  }

  /** The pool of a server, where the instance list has it. */
  findPool (server: string): string | undefined {
    return this.list.all.find(({ name }) => name === server)?.pool
  }

  find (server: string): BackendServer | undefined {
    return this.inPool(this.findPool(server) ?? '').find(({ name }) => name === server)
  }

  /** Counts a request in flight; the function it gives back ends it and is called once. */
  begin (server: string): () => void {
    this.counts.set(server, (this.counts.get(server) ?? 0) + 1)
    return () => {
      this.counts.set(server, this.counts.get(server)! - 1)
      for (const listener of [...this.listeners]) listener()
    }
  }

  /** Notes how an exchange with the server went. */
  observe (server: string, event: 'answered' | 'failed' | 'unreachable'): void {
    const next = stepServerHealth(this.health.get(server), event, this.clock.now())
    if (next === undefined) this.health.delete(server)
    else this.health.set(server, next)
  }

  /** Notes how long the server took in relation to its target, for its limit, which starts at `highest`. */
  record (server: string, ratio: number, highest: number): void {
    const limit = this.limits.get(server) ?? new AdaptiveLimit({ highest })
    this.limits.set(server, limit)
    limit.record({ ratio, inFlight: this.counts.get(server) ?? 0, now: this.clock.now() })
  }

  /** Calls `listener` whenever a request ends, so that there may be a place; the function it gives back stops that. */
  subscribe (listener: () => void): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  /** Resolves at the next end of a request, or after `timeout` ms. */
  async waitForRelease (timeout: number): Promise<void> {
    await waitForNext(this.clock, listener => this.subscribe(listener), timeout)
  }

  /** What the other daemons had in flight there by a view that isn't too old to go by. */
  private countOthers (server: string): number | undefined {
    const reported = this.others.get(server)
    return reported !== undefined && this.clock.now() - reported.at <= COUNT_TTL ? reported.count : undefined
  }

  private readLimit (server: string): number {
    const health = this.health.get(server)
    if (health !== undefined && health.ejections > 0) return this.clock.now() < health.ejectedUntil ? 0 : 1
    return this.limits.get(server)?.value ?? Infinity
  }
}

function createAgent (connections: number, connect: Agent.Options['connect'] = { timeout: CONNECT_TIMEOUT }): Agent {
  return new Agent({ connections, connect, keepAliveTimeout: KEEP_ALIVE, keepAliveMaxTimeout: KEEP_ALIVE, pipelining: 1 })
}

partRegistry.register({ name: 'servers', part: Servers, needs: ['instance list', 'members'] })
