import { inject, Lifecycle, scoped } from 'tsyringe'
import { buildConnector, type Agent } from 'undici'
import { AdaptiveLimit } from '../../coordination/adaptive-limit.js'
import { createAgent } from '../../http/create-agent.js'
import { OriginUse } from '../../http/origin-use.js'
import { SteadyPool } from '../../http/steady-pool.js'
import type { Clock } from '../../kernel/clock.js'
import type { Part } from '../../kernel/part.js'
import { partRegistry } from '../../kernel/part-registry.js'
import type { Settings } from '../../kernel/settings.js'
import { tokens } from '../../kernel/tokens.js'
import { waitForNotification } from '../../kernel/wait-for-notification.js'
import type { LogSink } from '../../observe/log-sink.js'
import type { ServerDialect } from '../exchanges/server-dialect.js'
import { createPacedConnector } from '../exchanges/create-paced-connector.js'
import type { Instance } from '../../store/instance.js'
import { InstanceList } from '../../store/instance-list.js'
import type { BackendServer } from './backend-server.js'
import { checkProcess } from './check-process.js'
import { isItemProbeDue } from './is-item-probe-due.js'
import { Members } from '../../peers/members.js'
import { markSent } from '../exchanges/mark-sent.js'
import { planDaemonLimit } from './plan-daemon-limit.js'
import type { ServerHealth } from './server-health.js'
import { spreadRounding } from './spread-rounding.js'
import { ServerProcesses } from './server-processes.js'
import { ServerViews } from './server-views.js'
import { stepServerHealth } from './step-server-health.js'

/** How long an idle connection is kept for reuse, ms. */
const KEEP_ALIVE = 500
/**
 * Longest time to establish a connection, ms; many round trips within a region. A request that waits for a connection to an
 * unresponsive server hasn't been sent, and goes to another server.
 */
const CONNECT_TIMEOUT = 400
/**
 * Shortest time between two reads of a paced answer, ms. Each read wakes the process, so several events are read at once:
 * an item has one in some 30 ms. The end of an answer is noticed, and its slot freed, up to this much later.
 */
const READ_PERIOD = 200
/** How long an owner's count of the other daemons' requests is used, ms. */
const COUNT_TTL = 1_000

const connect = buildConnector({ timeout: CONNECT_TIMEOUT })
const connectPaced = createPacedConnector({ timeout: CONNECT_TIMEOUT, period: READ_PERIOD })

/** This daemon's part of a pool's limits: the reserved fraction, if set, and its position among the daemons. */
interface Share { readonly fraction: number | undefined, readonly daemons: number, readonly daemon: number }

/**
 * The backend servers, this daemon's requests in flight at each, and its connections to them. Online, batch and paced
 * requests have separate connections, so that none waits behind another kind.
 *
 * Idle connections are closed after half a second, whatever keep-alive time a server offers: a middlebox may have dropped
 * one without notice, and a request sent on it would wait for its whole timeout.
 */
@scoped(Lifecycle.ContainerScoped)
export class Servers implements Part {
  private readonly origins = { online: new OriginUse(KEEP_ALIVE), batch: new OriginUse(KEEP_ALIVE), paced: new OriginUse(KEEP_ALIVE) }
  private readonly pools = {
    online: this.createAgent(256, this.origins.online.measure(connect)),
    batch: this.createAgent(64, this.origins.batch.measure(connect)),
    paced: this.createAgent(64, this.origins.paced.measure(connectPaced))
  }

  private readonly singleUsePools = {
    online: this.createAgent(256, this.origins.online.measure(connect), 0),
    batch: this.createAgent(64, this.origins.batch.measure(connect), 0),
    paced: this.createAgent(64, this.origins.paced.measure(connectPaced), 0)
  }

  readonly agents = { online: this.pools.online.compose(markSent), batch: this.pools.batch.compose(markSent), paced: this.pools.paced.compose(markSent) }
  /** Agents whose connections carry one request each. */
  readonly singleUseAgents = { online: this.singleUsePools.online.compose(markSent), batch: this.singleUsePools.batch.compose(markSent), paced: this.singleUsePools.paced.compose(markSent) }
  private readonly counts = new Map<string, number>()
  private readonly health = new Map<string, ServerHealth>()
  private readonly limits = new Map<string, AdaptiveLimit>()
  private readonly others = new Map<string, { readonly count: number, readonly at: number }>()
  private readonly listeners = new Set<() => void>()
  private readonly processes: ServerProcesses
  /** By pool: the fraction of its servers' limits reserved for this daemon, if set. */
  private readonly fractions = new Map<string, number>()

  constructor (
    @inject(InstanceList) private readonly list: InstanceList,
    @inject(ServerViews) private readonly views: ServerViews,
    @inject(Members) private readonly members: Members,
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(tokens.log) private readonly log: LogSink,
    @inject(tokens.serverDialect, { isOptional: true }) private readonly dialect?: Pick<ServerDialect, 'report'>
  ) {
    this.processes = new ServerProcesses({ list, clock, log })
    list.subscribeRestarts(server => {
      this.health.delete(server)
      this.limits.delete(server)
    })
    views.subscribe(({ server, online }) => {
      this.others.set(server, { count: Math.max(0, online - (this.counts.get(server) ?? 0)), at: clock.now() })
    })
  }

  async stop (): Promise<void> {
    await Promise.all([...Object.values(this.pools), ...Object.values(this.singleUsePools)].map(async pool => await pool.destroy()))
  }

  /** Returns the servers of a pool with their current load and this daemon's limits. */
  inPool (pool: string): readonly BackendServer[] {
    let share: Share | undefined
    const getShare = (): Share => { return (share ??= this.readShare(pool)) }
    return this.list.all.filter(instance => instance.pool === pool).map((instance, index) => this.describe(instance, () => index, getShare))
  }

  /** `getIndex`, the server's position in its pool, and `getShare` are called only for a server whose owner reports a limit. */
  private describe (instance: Instance, getIndex: () => number, getShare: () => Share): BackendServer {
    const { name, pool, host, port, failureDomain } = instance
    const view = this.views.get(name)
    const inFlight = this.counts.get(name) ?? 0
    const others = this.countOthers(name)
    return {
      name,
      pool,
      failureDomain,
      version: this.findVersion(name) ?? '',
      startedAt: this.processes.findStart(instance),
      url: `http://${host}:${port}`,
      leaving: this.isLeaving(instance),
      inFlight,
      load: inFlight + (others ?? 0),
      limit: Math.min(this.readLimit(name), view === undefined ? Infinity : planLimit(view.limit, others, getIndex(), getShare())),
      isItemProbeDue: isItemProbeDue(this.health.get(name), this.clock.now())
    }
  }

  private isLeaving (instance: Instance): boolean {
    const view = this.views.get(instance.name)
    return instance.state === 'leaving' || this.hasExited(instance) || (view !== undefined && view.state !== 'open')
  }

  private readShare (pool: string): Share {
    const fraction = this.fractions.get(pool)
    const owners = this.members.owners()
    return { fraction, daemons: Math.max(1, owners.length), daemon: fraction === undefined ? 0 : [...owners].sort().indexOf(this.settings.instance) }
  }

  /** Sets the fraction of the pool's limits reserved for this daemon; undefined for an equal part. */
  setFraction (pool: string, fraction: number | undefined): void {
    if (fraction === undefined) this.fractions.delete(pool)
    else this.fractions.set(pool, fraction)
  }

  /** Returns the sum of the limits of the pool's servers; undefined until every owner has reported its server's. */
  sumLimits (pool: string): number | undefined {
    const limits = this.list.all.filter(instance => instance.pool === pool && instance.state !== 'leaving').map(({ name }) => this.views.get(name)?.limit)
    return limits.reduce<number | undefined>((sum, limit) => sum === undefined || limit === undefined ? undefined : sum + limit, 0)
  }

  /** Returns the pool of a server, if the server is in the instance list. */
  findPool (server: string): string | undefined {
    return this.list.find(server)?.pool
  }

  find (server: string): BackendServer | undefined {
    const instance = this.list.find(server)
    if (instance === undefined) return undefined
    const { pool } = instance
    return this.describe(instance, () => this.list.all.filter(other => other.pool === pool).indexOf(instance), () => this.readShare(pool))
  }

  /** Records a request by the agent of `kind`. Returns for how long to hold back the last byte of its body; see `OriginUse`. */
  planHold (url: string, kind: keyof Servers['agents']): () => number | undefined {
    return this.origins[kind].planHold(url, this.clock.now())
  }

  /** Counts a request in flight. The returned function ends it and must be called once. */
  begin (server: string): () => void {
    this.counts.set(server, (this.counts.get(server) ?? 0) + 1)
    return () => {
      this.counts.set(server, this.counts.get(server)! - 1)
      for (const listener of [...this.listeners]) listener()
    }
  }

  /** Records that the server's process was found to have exited `ago` ms ago. */
  recordExit (server: string, ago: number): void {
    this.processes.recordExit(server, ago)
  }

  /** Whether the process that the entry shows has exited, or may have; see `ServerProcesses`. */
  hasExited (instance: Pick<Instance, 'name' | 'startedAt'>): boolean {
    return this.processes.hasExited(instance)
  }

  /** Returns the version of the software of a server's process; see `ServerProcesses`. */
  findVersion (server: string): string | undefined {
    return this.processes.findVersion(server)
  }

  /** Whether the server takes new requests, and its process is still the one that requests go to. */
  isOpen (server: Pick<BackendServer, 'name' | 'startedAt' | 'version'>): boolean {
    const instance = this.list.find(server.name)
    return instance !== undefined && !this.isLeaving(instance) && this.processes.isCurrent(server)
  }

  /** Records the outcome of an exchange for the server's health. */
  recordOutcome (server: string, event: 'answered' | 'failed' | 'unreachable'): void {
    const next = stepServerHealth(this.health.get(server), event, this.clock.now())
    if (next === undefined) this.health.delete(server)
    else this.health.set(server, next)
  }

  /** Records the ratio of an answer's time to its target for the server's adaptive limit, which starts at `highest`. */
  recordLatencyRatio (server: string, ratio: number, highest: number): void {
    const limit = this.limits.get(server) ?? new AdaptiveLimit({ highest })
    this.limits.set(server, limit)
    limit.record({ ratio, inFlight: this.counts.get(server) ?? 0, now: this.clock.now() })
  }

  /** Calls `listener` whenever a request ends and capacity may be free. The returned function unsubscribes it. */
  subscribe (listener: () => void): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  /** Resolves when the next request ends, or after `timeout` ms. */
  async waitForRelease (timeout: number): Promise<void> {
    await waitForNotification(this.clock, listener => this.subscribe(listener), timeout)
  }

  /** Returns a connector whose connections lead to the listed processes; see `checkProcess`. */
  private checkProcesses (connect: buildConnector.connector): buildConnector.connector {
    return (target, callback) => {
      const { processes, dialect } = this
      const checked = dialect?.report === undefined ? connect : checkProcess(connect, { report: dialect.report, processes })
      checked(target, callback)
    }
  }

  private createAgent (connections: number, connect: buildConnector.connector, pipelining = 1): Agent {
    const onReset = (address: string): void => this.log.write('info', 'routing', 'a server reset a connection', { server: this.processes.listAt(address)[0]?.name, address })
    return createAgent({ factory: (origin, options) => new SteadyPool(origin, options), connections, connect: this.checkProcesses(connect), onReset, keepAliveTimeout: KEEP_ALIVE, keepAliveMaxTimeout: KEEP_ALIVE, pipelining })
  }

  /** Returns the other daemons' requests in flight at the server; undefined if the last view is too old. */
  private countOthers (server: string): number | undefined {
    const reported = this.others.get(server)
    return reported !== undefined && this.clock.now() - reported.at <= COUNT_TTL ? reported.count : undefined
  }

  /** Returns the adaptive limit of a server, 0 while it is ejected, or 1 while it is probed after an ejection. */
  private readLimit (server: string): number {
    const health = this.health.get(server)
    if (health !== undefined && health.ejections > 0) return this.clock.now() < health.ejectedUntil ? 0 : 1
    return this.limits.get(server)?.value ?? Infinity
  }
}

function planLimit (limit: number | undefined, others: number | undefined, server: number, { fraction, daemons, daemon }: Share): number {
  return planDaemonLimit({ limit, others, daemons, fraction, rounding: spreadRounding({ server, daemon, daemons }) })
}

partRegistry.register({ name: 'servers', part: Servers, needs: ['instance list', 'members'] })
