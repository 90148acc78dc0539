import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Configuration } from '../config/configuration.js'
import { ConfigurationHolder } from '../config/configuration-holder.js'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Random } from '../kernel/random.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import type { LogSink } from '../observe/log-sink.js'
import { Metrics } from '../observe/metrics.js'
import { isSmallFleet } from '../peers/is-small-fleet.js'
import { listOthers } from '../peers/list-others.js'
import { Members } from '../peers/members.js'
import { peerHandlerPoint } from '../peers/peer-handler-point.js'
import { PeerLinks } from '../peers/peer-links.js'
import type { PeerMessage } from '../peers/peer-message.js'
import type { Instance } from '../store/instance.js'
import { InstanceList } from '../store/instance-list.js'
import type { ObjectStore } from '../store/object-store.js'
import type { StoreError } from '../store/store-error.js'
import { StoreMirror } from '../store/store-mirror.js'
import type { WatchBatch } from '../store/watch-batch.js'
import { DaemonDirectory } from './daemon-directory.js'
import { followKind } from './follow-kind.js'
import { listWatchers } from './list-watchers.js'
import { planRemoval } from './plan-removal.js'

const CONFIGURATION = 'configuration'
const INSTANCES = 'instances'
/** Silence of all watchers after which a daemon watches for itself, ms: one watch, a retry, and the way of the news. */
const SILENCE = 6_000
const CHECK_PERIOD = 500

/**
 * What this daemon knows of the configuration and of the backend servers, from the store and from its peers.
 *
 * A few daemons of each failure domain watch the store and tell all others what changed: a watch in each would grow the
 * calls with the fleet. A daemon whose watchers have fallen silent watches for itself; one that can't reach the store
 * lives on what the others tell it.
 */
@scoped(Lifecycle.ContainerScoped)
export class FleetWatch implements Part {
  readonly extensions = [
    peerHandlerPoint.of({ type: 'fleet news', handle: (message, from) => this.hear(message, from) }),
    peerHandlerPoint.of({ type: 'fleet ask', handle: (_message, from) => this.answer(from) })
  ]

  private readonly configurations = new StoreMirror<Configuration>()
  private readonly instances = new StoreMirror<Instance>()
  /** Servers whose entries have gone and that are used on for a while: until when, monotonic ms. */
  private readonly held = new Map<string, { readonly instance: Instance, readonly until: number }>()
  private readonly ended = new AbortController()
  private away = false
  private backAt = -Infinity
  private heardAt = -Infinity
  /** When the store or a watcher last confirmed the configuration, monotonic ms; the start, until one has. */
  private confirmedAt: number
  private cancel = (): void => {}

  constructor (
    @inject(tokens.store) private readonly store: ObjectStore,
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(tokens.random) private readonly random: Random,
    @inject(tokens.log) private readonly log: LogSink,
    @inject(InstanceList) private readonly list: InstanceList,
    @inject(ConfigurationHolder) private readonly holder: ConfigurationHolder,
    @inject(DaemonDirectory) private readonly daemons: DaemonDirectory,
    @inject(Members) private readonly members: Members,
    @inject(PeerLinks) private readonly links: PeerLinks,
    @inject(Metrics) metrics: Metrics
  ) {
    this.confirmedAt = clock.now()
    metrics.gauge('configuration_age_ms', () => Math.round(clock.now() - this.confirmedAt))
    list.polled = false
  }

  async start (): Promise<void> {
    this.daemons.subscribe(() => this.publish())
    void this.follow(CONFIGURATION, this.configurations)
    void this.follow(INSTANCES, this.instances)
    this.cancel = this.clock.every(CHECK_PERIOD, () => this.check())
  }

  async stop (): Promise<void> {
    this.cancel()
    this.ended.abort()
  }

  /** Whether the backend servers are known, from the store or from another daemon. */
  get knowsServers (): boolean {
    return this.instances.cursor >= 0 || this.instances.list().size > 0
  }

  /** `listener` runs when the servers have changed; the function it gives back ends that. */
  subscribe (listener: () => void): () => void {
    return this.list.subscribe(listener)
  }

  private async follow<T> (kind: string, mirror: StoreMirror<T>): Promise<void> {
    await followKind<T>({
      store: this.store,
      clock: this.clock,
      random: this.random,
      kind,
      getCursor: () => mirror.cursor,
      wants: () => mirror.cursor < 0 || this.watches(),
      onBatch: batch => this.takeBatch(kind, mirror, batch),
      onFailure: error => this.noteFailure(kind, error)
    }, this.ended.signal)
  }

  private watches (): boolean {
    return this.isWatcher || this.clock.now() > this.heardAt + SILENCE
  }

  private get isWatcher (): boolean {
    const { instance, failureDomain } = this.settings
    return listWatchers(this.members.all(), failureDomain, instance).includes(instance)
  }

  private takeBatch<T> (kind: string, mirror: StoreMirror<T>, batch: WatchBatch<T>): void {
    if (this.away) {
      this.backAt = this.clock.now()
      this.log.write('info', 'fleet', 'the store answers again', { kind, revision: batch.revision })
    }
    this.away = false
    if (kind === CONFIGURATION) this.confirmedAt = this.clock.now()
    const before = this.instances.list()
    const names = mirror.apply(batch)
    this.tell(kind, names.length === 0 ? { revision: batch.revision, changed: [], deleted: [] } : filterNames(mirror.copy(kind), names, batch.revision))
    if (names.length > 0 || !this.list.known) this.use(kind, names, before)
  }

  private noteFailure (kind: string, error: StoreError): void {
    if (!this.away) this.log.write('warn', 'fleet', 'the store does not answer', { kind, error: error.type, reason: 'reason' in error ? error.reason : undefined })
    this.away = true
    if (this.holder.value.version === 0 || !this.list.known) this.ask()
  }

  /** News of another daemon, which may be a watcher's or an answer to a question. */
  private hear ({ kind, batch, sure }: PeerMessage, from: string): void {
    const news = batch as WatchBatch<any>
    if (!Array.isArray(news?.changed) || !Array.isArray(news.deleted)) return
    this.heardAt = this.clock.now()
    // A watcher says whether it is sure; a daemon that was asked only tells what it has.
    if (kind === CONFIGURATION && typeof sure === 'boolean') this.confirmedAt = this.heardAt
    const before = this.instances.list()
    const names = (kind === CONFIGURATION ? this.configurations : this.instances).merge(news)
    const doubted = kind === INSTANCES && sure === true ? news.deleted.filter(name => this.held.delete(name)) : []
    if (names.length === 0 && doubted.length === 0) return
    this.use(String(kind), [...names, ...doubted], before, sure === true)
    this.passOn({ kind, batch, sure }, from)
  }

  private use (kind: string, names: readonly string[], before: ReadonlyMap<string, Instance>, sure = false): void {
    if (kind === CONFIGURATION) return this.useConfiguration()
    const now = this.clock.now()
    const present = this.instances.list()
    for (const name of names) {
      const instance = before.get(name)
      const until = sure || instance === undefined || present.has(name) ? undefined : planRemoval(now, { away: this.away, backAt: this.backAt })
      if (until !== undefined) this.held.set(name, { instance: instance!, until })
      this.log.write('info', 'fleet', 'a server changed', { server: name, state: present.get(name)?.state ?? (until === undefined ? 'gone' : 'held') })
    }
    this.publish()
  }

  private useConfiguration (): void {
    for (const configuration of this.configurations.list().values()) {
      if (this.holder.offer(configuration)) this.log.write('info', 'fleet', 'a configuration is in force', { version: configuration.version, routes: Object.keys(configuration.routes ?? {}).length })
    }
  }

  private publish (): void {
    const present = this.instances.list()
    for (const name of [...this.held.keys()]) if (present.has(name)) this.held.delete(name)
    const held = [...this.held.values()].map(({ instance }) => instance)
    if (this.instances.cursor >= 0 || present.size > 0 || this.daemons.all.length > 0) this.list.replace([...present.values(), ...held, ...this.daemons.all])
  }

  private check (): void {
    const now = this.clock.now()
    const over = [...this.held].filter(([, { until }]) => now >= until).map(([name]) => name)
    for (const name of over) this.held.delete(name)
    if (over.length > 0) this.publish()
    if (this.away) this.ask()
  }

  /**
   * A daemon for which the store has been there all the time knows that what went has gone; one that was turned away by the
   * store alone takes its word, and doesn't go on using a server that has left. In a larger fleet each failure domain's
   * watchers tell their own domain, and the watchers of the others.
   */
  private tell<T> (kind: string, batch: WatchBatch<T>): void {
    const sure = planRemoval(this.clock.now(), { away: this.away, backAt: this.backAt }) === undefined
    const members = this.members.all()
    const told = isSmallFleet(members) ? members.map(({ instance }) => instance.name) : [...this.listDomain(), ...this.listOtherWatchers()]
    this.sendNews(told, { kind, batch, sure })
  }

  /**
   * The store may turn away all watchers of a failure domain at once, whose daemons, though it serves them, rely on those: they
   * went by an old configuration for 6 s. What a watcher hears from another domain it tells its own.
   */
  private passOn (news: Readonly<Record<string, unknown>>, from: string): void {
    if (isSmallFleet(this.members.all()) || !this.isWatcher || this.listDomain().includes(from)) return
    this.sendNews(this.listDomain(), news)
  }

  private listDomain (): readonly string[] {
    return this.members.all().filter(({ instance }) => instance.failureDomain === this.settings.failureDomain).map(({ instance }) => instance.name)
  }

  private listOtherWatchers (): readonly string[] {
    const members = this.members.all()
    const domains = new Set(members.map(({ instance }) => instance.failureDomain))
    domains.delete(this.settings.failureDomain)
    return [...domains].flatMap(domain => listWatchers(members, domain))
  }

  private sendNews (names: readonly string[], news: Readonly<Record<string, unknown>>): void {
    for (const name of names) if (name !== this.settings.instance) this.links.send(name, { type: 'fleet news', ...news })
  }

  /** One daemon at random: the next question goes to another. */
  private ask (): void {
    const others = listOthers(this.members.all(), this.settings.instance)
    if (others.length > 0) this.links.send(others[this.random.below(others.length)]!, { type: 'fleet ask' })
  }

  private answer (from: string): void {
    for (const [kind, mirror] of [[CONFIGURATION, this.configurations], [INSTANCES, this.instances]] as const) {
      this.links.send(from, { type: 'fleet news', kind, batch: mirror.copy(kind) })
    }
  }
}

function filterNames<T> (all: WatchBatch<T>, names: readonly string[], revision: number): WatchBatch<T> {
  const changed = all.changed.filter(({ name }) => names.includes(name))
  const present = new Set(changed.map(({ name }) => name))
  return { revision, changed, deleted: names.filter(name => !present.has(name)) }
}

partRegistry.register({ name: 'fleet watch', part: FleetWatch, needs: ['members', 'peer links', 'instance list', 'daemon directory'] })
