import type { Configuration } from '../../src/config/configuration.js'
import { ConfigurationHolder } from '../../src/config/configuration-holder.js'
import { emptyConfiguration } from '../../src/config/empty-configuration.js'
import { Random } from '../../src/kernel/random.js'
import type { Settings } from '../../src/kernel/settings.js'
import type { LogSink } from '../../src/observe/log-sink.js'
import { Metrics } from '../../src/observe/metrics.js'
import type { Members } from '../../src/peers/members.js'
import { listLarge } from '../../src/peers/list-large.js'
import type { PeerHandler } from '../../src/peers/peer-handler.js'
import type { PeerLinks } from '../../src/peers/peer-links.js'
import type { PeerMessage } from '../../src/peers/peer-message.js'
import type { ExchangeObserver } from '../../src/routing/exchanges/exchange-observer.js'
import type { ExchangeOutcome } from '../../src/routing/exchanges/exchange-outcome.js'
import { isItemProbeDue } from '../../src/routing/servers/is-item-probe-due.js'
import type { ServerHealth } from '../../src/routing/servers/server-health.js'
import type { Servers } from '../../src/routing/servers/servers.js'
import { stepServerHealth } from '../../src/routing/servers/step-server-health.js'
import type { InstanceList } from '../../src/store/instance-list.js'
import { PlacementQueue } from '../../src/placement/placement-queue.js'
import { ServerLoads } from '../../src/placement/server-loads.js'
import { SlotBroker } from '../../src/placement/slot-broker.js'
import { CallerQuotas } from '../../src/quota/caller-quotas.js'
import { QuotaHolders } from '../../src/quota/quota-holders.js'
import { SlotClient } from '../../src/placement/slot-client.js'
import { CallerShares } from '../../src/placement/shares/caller-shares.js'
import { SlotHoldTimes } from '../../src/placement/slot-hold-times.js'
import { SlotMap } from '../../src/placement/slot-map.js'
import type { VirtualClock } from './virtual-clock.js'

const LINK_DELAY = 1
const QUOTA_TERMS = { window: 5_000, overage: 0.1, slack: 20 }

interface Daemon { readonly queue: PlacementQueue, readonly client: SlotClient, readonly broker: SlotBroker, readonly quotas: CallerQuotas, readonly loads: ServerLoads, readonly observers: readonly ExchangeObserver[] }

interface SlotFleetOptions { readonly daemons: number, readonly servers: number, readonly slots: number, readonly clock: VirtualClock, readonly cores?: (daemon: string) => number, readonly callers?: Configuration['callers'], readonly versions?: (server: number) => string }

interface AskOptions {
  readonly caller?: string
  readonly repeatable?: boolean
  /** The only version of a server's software that may run it; any if omitted. */
  readonly version?: string
  /** Time until the latest start of use to the caller, ms. */
  readonly beginWithin?: number
  /** Time since its caller's first attempt, ms. */
  readonly sinceAsked?: number
  readonly start: (server: string) => void
  readonly refuse?: () => void
}

/** Simulates a fleet of daemons with their brokers on virtual time. Messages take 1 ms; those from or to a killed daemon are lost. */
export class SlotFleet {
  readonly daemons = new Map<string, Daemon>()
  readonly dead = new Set<string>()
  /** Killed daemons that membership still lists. */
  readonly undetected = new Set<string>()
  /** Current requests and their peak, by server. */
  readonly running = new Map<string, { online: number, batch: number, most: number }>()
  /** Log lines of all daemons. */
  readonly lines: Array<{ readonly message: string, readonly fields: Readonly<Record<string, unknown>> }> = []
  messages = 0
  /** Additional time until a message reaches a daemon that is short of processor time, ms. */
  readonly delays = new Map<string, number>()
  /** Whether a message between two daemons is lost. */
  isLost: (from: string, to: string, message: PeerMessage) => boolean = () => false
  /** Daemons that membership of one of them doesn't list. */
  readonly unlisted = new Map<string, ReadonlySet<string>>()
  /** Health of servers as one daemon has observed it, by daemon and server. */
  readonly health = new Map<string, ServerHealth>()
  /** Called with each message between two daemons. */
  onDeliver: (to: string, message: PeerMessage) => void = () => {}
  private readonly log: LogSink = { write: (_level, _part, message, fields = {}) => { this.lines.push({ message, fields }) } }
  /** Runs of restarted daemons. */
  private readonly runs = new Map<string, number>()
  private readonly listeners: Array<() => void> = []
  private readonly restartListeners: Array<(server: string) => void> = []
  private readonly configuration = new ConfigurationHolder()
  private readonly instances
  private readonly names: readonly string[]

  constructor (private readonly options: SlotFleetOptions) {
    const { daemons, servers, slots, callers = {}, versions = () => '' } = options
    this.configuration.offer({ ...emptyConfiguration, version: 1, callers, requiresKeys: Object.keys(callers).length > 0 })
    this.names = Array.from({ length: daemons }, (_, i) => `d${i}`)
    this.instances = Array.from({ length: servers }, (_, i) => ({ name: `s${i}`, pool: 'p', host: '', port: 0, failureDomain: 'a', region: '', state: 'live', slots, version: versions(i) }))
    for (const { name } of this.instances) this.running.set(name, { online: 0, batch: 0, most: 0 })
  }

  async start (): Promise<void> {
    for (const [i, name] of this.names.entries()) {
      const daemon = this.createDaemon(name, i + 1)
      this.daemons.set(name, daemon)
      await daemon.loads.start()
      await daemon.client.start()
      await daemon.queue.start()
    }
  }

  /** Removes killed daemons from membership. */
  detectDead (): void {
    this.undetected.clear()
    this.notifyMembership()
  }

  /** Starts a killed daemon again, under a new run. */
  revive (name: string): void {
    this.dead.delete(name)
    this.restart(name)
  }

  /** Tells every daemon that membership has changed. */
  notifyMembership (): void {
    for (const listener of this.listeners) listener()
  }

  /** Tells every daemon that a server has started again under its name. */
  restartServer (server: string): void {
    for (const listener of this.restartListeners) listener(server)
  }

  /** Restarts a daemon's process, which loses its requests in flight; membership shows the new run at once. */
  restart (name: string): void {
    this.runs.set(name, (this.runs.get(name) ?? 1) + 1)
    this.detectDead()
  }

  /** Records an outcome of a daemon's request for what it knows of the server's health. */
  recordHealth (name: string, server: string, event: 'answered' | 'failed' | 'unreachable'): void {
    const next = stepServerHealth(this.health.get(`${name} ${server}`), event, this.options.clock.now())
    if (next === undefined) this.health.delete(`${name} ${server}`)
    else this.health.set(`${name} ${server}`, next)
  }

  kill (name: string): void {
    this.dead.add(name)
    this.undetected.add(name)
  }

  /** Starts one request or item of a daemon at a server. Returns a function that ends it. */
  begin (name: string, server: string, work: 'online' | 'batch'): (outcome?: ExchangeOutcome) => void {
    const { observers } = this.daemons.get(name)!
    const request = { work } as Parameters<ExchangeObserver['onBegin']>[0]
    const running = this.running.get(server)!
    running[work]++
    running.most = Math.max(running.most, running.online + running.batch)
    for (const observer of observers) observer.onBegin(request, server)
    return (outcome = 'answered') => {
      running[work]--
      for (const observer of observers) observer.onEnd(request, server, outcome)
    }
  }

  /** Requests a slot for an online request of a daemon with a target of 300 ms. */
  ask (name: string, { caller, repeatable = false, version, beginWithin = Infinity, sinceAsked = 0, start, refuse = () => {} }: AskOptions): void {
    const arrived = this.options.clock.now()
    this.daemons.get(name)!.queue.request({
      pool: 'p',
      caller,
      avoided: [],
      arrived,
      deadline: arrived + 5_000,
      beginBy: arrived + beginWithin,
      target: 300,
      priority: 0,
      asked: arrived - sinceAsked,
      returning: sinceAsked > 0,
      repeatable,
      ...version !== undefined && { version },
      signal: new AbortController().signal,
      start,
      refuse
    })
  }

  private alive (): readonly string[] {
    return this.names.filter(name => !this.dead.has(name) || this.undetected.has(name))
  }

  private createDaemon (name: string, seed: number): Daemon {
    const { clock } = this.options
    const random = new Random(seed)
    const metrics = new Metrics()
    const settings = { instance: name } as unknown as Settings
    const list = { all: this.instances, find: (server: string) => this.instances.find(instance => instance.name === server), findVersion: (server: string) => this.instances.find(instance => instance.name === server)?.version, subscribe: () => {}, subscribeRestarts: (listener: (server: string) => void) => { this.restartListeners.push(listener) } } as unknown as InstanceList
    const listed = (): readonly string[] => this.alive().filter(other => this.unlisted.get(name)?.has(other) !== true)
    const members = { all: () => listed().map(other => ({ instance: { name: other }, run: this.runs.get(other) ?? 1, state: 'alive' })), owners: listed, largeOwners: () => listLarge(listed().map(name => ({ name, cores: this.options.cores?.(name) ?? 0 }))), subscribe: (listener: () => void) => { this.listeners.push(listener) } } as unknown as Members
    const described = this.instances.map(({ name: server, failureDomain, version }) => ({ name: server, failureDomain, version, leaving: false, inFlight: 0, limit: Infinity, isItemProbeDue: false }))
    const describe = (server: typeof described[number]): typeof described[number] => ({ ...server, limit: readLimit(this.health.get(`${name} ${server.name}`), clock.now()), isItemProbeDue: isItemProbeDue(this.health.get(`${name} ${server.name}`), clock.now()) })
    const servers = { hasExited: () => false, findVersion: (server: string) => list.findVersion(server), inPool: () => described.map(describe), find: (server: string) => described.filter(({ name }) => name === server).map(describe)[0] } as unknown as Servers
    const loads = new ServerLoads(clock, list, servers)
    const map = new SlotMap(members, list)
    void map.start()
    const holdTimes = new SlotHoldTimes()
    const shares = new CallerShares(this.configuration)
    const links = { send: (to: string, message: PeerMessage) => this.deliver(name, to, message), dispatch: (message: PeerMessage, from: string) => this.dispatch(name, message, from) } as unknown as PeerLinks
    const quotas = new CallerQuotas(settings, QUOTA_TERMS, this.configuration, new QuotaHolders(members, { all: [], isRead: true, subscribe: () => {} }, clock), links, clock, random, this.log, metrics)
    void quotas.start()
    const broker = new SlotBroker(settings, loads, members, map, list, holdTimes, quotas, shares, metrics, clock, random, this.log)
    void broker.start()
    const client = new SlotClient(settings, clock, random, links, loads, map, broker, metrics, this.log)
    const observers = [...loads.extensions, ...client.extensions].map(({ value }) => value as ExchangeObserver).filter(({ onEnd }) => onEnd !== undefined)
    return { queue: new PlacementQueue(loads, client, holdTimes, quotas, shares, metrics, clock, random), client, broker, quotas, loads, observers }
  }

  private deliver (from: string, to: string, message: PeerMessage): void {
    this.messages++
    this.onDeliver(to, message)
    this.options.clock.after(LINK_DELAY + (this.delays.get(to) ?? 0), () => { if (!this.dead.has(from) && !this.dead.has(to) && !this.isLost(from, to, message)) this.dispatch(to, message, from) })
  }

  private dispatch (to: string, message: PeerMessage, from: string): void {
    const { client, quotas } = this.daemons.get(to)!
    for (const { value } of [...client.extensions, ...quotas.extensions]) if ((value as PeerHandler).type === message.type) (value as PeerHandler).handle(message, from)
  }
}

/** Returns the limit of a server as `Servers` does: 0 while it is ejected, 1 while it is probed. */
function readLimit (health: ServerHealth | undefined, now: number): number {
  if (health === undefined || health.ejections === 0) return Infinity
  return now < health.ejectedUntil ? 0 : 1
}
