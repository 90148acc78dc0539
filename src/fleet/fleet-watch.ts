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
import { decodeHeartbeat } from './decode-heartbeat.js'
import { followKind } from './follow-kind.js'
import { listWatchers } from './list-watchers.js'
import type { ChangeNotice } from './change-notice.js'
import { ChangePublisher } from './change-publisher.js'
import { planRemoval } from './plan-removal.js'
import { watchedKinds } from './watched-kinds.js'
import { WatcherContact } from './watcher-contact.js'

const CONFIGURATION = 'configuration'
const INSTANCES = 'instances'
const CHECK_PERIOD = 500
/** Between two questions to watchers, ms: both notice at once that this daemon lacks something. */
const MIN_REQUEST_INTERVAL = 250

/**
 * What this daemon knows of the configuration and of the backend servers, from the store and from its peers.
 *
 * A few daemons of each failure domain watch the store and tell all others what changed: a watch in each would grow the
 * calls with the fleet. A daemon whose watchers have fallen silent watches for itself; one that can't reach the store
 * lives on what the others tell it.
 *
 * News may be lost on the way. Heartbeats of the watchers show that something is lacking here, and a daemon asks for it.
 */
@scoped(Lifecycle.ContainerScoped)
export class FleetWatch implements Part {
  readonly extensions = [
    peerHandlerPoint.of({ type: 'fleet news', handle: (message, from) => this.receiveNotice(message, from) }),
    peerHandlerPoint.of({ type: 'heartbeat', handle: (message, from) => this.receiveHeartbeat(message, from) }),
    peerHandlerPoint.of({ type: 'fleet ask', handle: (message, from) => this.publisher.sendMissing(message, from) })
  ]

  private readonly configurations = new StoreMirror<Configuration>()
  private readonly instances = new StoreMirror<Instance>()
  private readonly mirrors: ReadonlyMap<string, StoreMirror<any>> = new Map<string, StoreMirror<any>>([[CONFIGURATION, this.configurations], [INSTANCES, this.instances]])
  private readonly publisher: ChangePublisher
  private readonly contact = new WatcherContact()
  /** By kind, when the store answered this daemon last, monotonic ms. */
  private readonly answeredAt = new Map<string, number>()
  /** Servers whose entries have gone and that are used on for a while: until when, monotonic ms. */
  private readonly held = new Map<string, { readonly instance: Instance, readonly until: number }>()
  private readonly ended = new AbortController()
  private isStoreUnavailable = false
  private recoveredAt = -Infinity
  private requestedAt = -Infinity
  private nextHeartbeatAt = -Infinity
  private isWatcher = false
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
    @inject(PeerLinks) links: PeerLinks,
    @inject(Metrics) metrics: Metrics
  ) {
    const startedAt = clock.now()
    metrics.gauge('configuration_age_ms', () => Math.round(clock.now() - Math.max(startedAt, this.findAnswerTime(CONFIGURATION))))
    list.polled = false
    this.publisher = new ChangePublisher({ settings, members, links, mirrors: this.mirrors })
  }

  async start (): Promise<void> {
    this.daemons.subscribe(() => this.updateList())
    this.isWatcher = this.isAssignedWatcher()
    void this.follow(CONFIGURATION, this.configurations)
    void this.follow(INSTANCES, this.instances)
    this.cancel = this.clock.every(CHECK_PERIOD, () => this.check())
  }

  async stop (): Promise<void> {
    this.cancel()
    this.ended.abort()
  }

  /** Whether the backend servers are known, from the store or from another daemon. */
  get hasServers (): boolean {
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
      shouldWatch: () => this.shouldWatch(kind),
      onBatch: batch => this.applyBatch(kind, mirror, batch),
      onFailure: error => this.recordFailure(kind, error)
    }, this.ended.signal)
  }

  private shouldWatch (kind: string): boolean {
    return this.mirrors.get(kind)!.cursor < 0 || this.isWatcher || this.contact.isUnresponsive(kind, this.clock.now())
  }

  /** When the store last answered this daemon or a watcher about the kind, monotonic ms. */
  private findAnswerTime (kind: string): number {
    return Math.max(this.answeredAt.get(kind) ?? -Infinity, this.contact.findAnswerTime(kind))
  }

  /** Whether this daemon is one of those that watch for its failure domain. */
  private isAssignedWatcher (): boolean {
    const { instance, failureDomain } = this.settings
    return listWatchers(this.members.all(), failureDomain, instance).includes(instance)
  }

  private applyBatch<T> (kind: string, mirror: StoreMirror<T>, batch: WatchBatch<T>): void {
    this.recordAnswer({ kind, revision: batch.revision })
    this.answeredAt.set(kind, this.clock.now())
    const before = this.instances.list()
    const changed = mirror.apply(batch)
    const hold = this.planHold()
    const released = hold === undefined ? this.endHolds(kind, batch) : []
    const names = [...changed, ...released]
    this.publisher.publish({ kind, names, sure: hold === undefined, hold })
    if (names.length > 0 || !this.list.known) this.applyChange({ kind, names }, before)
  }

  private recordAnswer (detail: Readonly<Record<string, unknown>>): void {
    if (!this.isStoreUnavailable) return
    this.isStoreUnavailable = false
    this.recoveredAt = this.clock.now()
    this.log.write('info', 'fleet', 'the store answers again', detail)
  }

  private recordFailure (kind: string, error: StoreError): void {
    if (!this.isStoreUnavailable) this.log.write('warn', 'fleet', 'the store does not answer', { kind, error: error.type, reason: 'reason' in error ? error.reason : undefined })
    this.isStoreUnavailable = true
    if (this.holder.value.version === 0 || !this.list.known) this.requestFromRandom()
  }

  /** News of another daemon, which may be a watcher's or an answer to a question. */
  private receiveNotice ({ kind, batch, sure, hold }: PeerMessage, from: string): void {
    const received = batch as WatchBatch<any>
    const mirror = this.mirrors.get(String(kind))
    if (mirror === undefined || !Array.isArray(received?.changed) || !Array.isArray(received.deleted)) return
    if (typeof sure === 'boolean') this.contact.recordNotice(String(kind), this.clock.now())
    const before = this.instances.list()
    const names = mirror.merge(received)
    const released = sure === true ? this.endHolds(String(kind), received) : []
    if (received.after !== undefined) this.requestIfBehind(String(kind), received.revision, from)
    if (names.length === 0 && released.length === 0) return
    const notice = { kind: String(kind), names: [...names, ...released], sure: sure as boolean | undefined, hold: hold as number | undefined }
    this.applyChange(notice, before)
    if (this.isWatcher) this.publisher.relay(notice, received, from)
  }

  private receiveHeartbeat (message: PeerMessage, from: string): void {
    const heartbeat = decodeHeartbeat(message)
    this.contact.recordHeartbeat(heartbeat, this.clock.now())
    for (const [kind, { published }] of heartbeat.kinds) this.requestIfBehind(kind, published, from)
  }

  /** Ends the doubt about servers that are gone for certain; gives back their names. */
  private endHolds (kind: string, { deleted }: WatchBatch<unknown>): readonly string[] {
    return kind === INSTANCES ? deleted.filter(name => this.held.delete(name)) : []
  }

  /** Asks a daemon that has told everything up to `revision` for what this one lacks of it. */
  private requestIfBehind (kind: string, revision: number, from: string): void {
    const now = this.clock.now()
    if (revision <= (this.mirrors.get(kind)?.complete ?? Infinity) || now < this.requestedAt + MIN_REQUEST_INTERVAL) return
    this.requestedAt = now
    this.log.write('info', 'fleet', 'lacks news and asks for them', { kind, revision, complete: this.mirrors.get(kind)?.complete, from })
    this.publisher.requestMissing(from)
  }

  /**
   * Servers that went are used on for as long as this daemon would, or the one that tells of it: one that leaves watching to others
   * doesn't notice a short outage, in which the entries of servers that are well lapse.
   */
  private applyChange ({ kind, names, sure = false, hold = 0 }: ChangeNotice, before: ReadonlyMap<string, Instance>): void {
    if (kind === CONFIGURATION) return this.applyConfiguration()
    const holdFor = sure ? 0 : Math.max(this.planHold() ?? 0, hold)
    const present = this.instances.list()
    for (const name of names) {
      const instance = before.get(name)
      const isHeld = holdFor > 0 && instance !== undefined && !present.has(name)
      if (isHeld) this.held.set(name, { instance, until: this.clock.now() + holdFor })
      this.log.write('info', 'fleet', 'a server changed', { server: name, state: present.get(name)?.state ?? (isHeld ? 'held' : 'gone') })
    }
    this.updateList()
  }

  private applyConfiguration (): void {
    for (const configuration of this.configurations.list().values()) {
      if (this.holder.offer(configuration)) this.log.write('info', 'fleet', 'a configuration is in force', { version: configuration.version, routes: Object.keys(configuration.routes ?? {}).length })
    }
  }

  private updateList (): void {
    const present = this.instances.list()
    for (const name of [...this.held.keys()]) if (present.has(name)) this.held.delete(name)
    const held = [...this.held.values()].map(({ instance }) => instance)
    if (this.instances.cursor >= 0 || present.size > 0 || this.daemons.all.length > 0) this.list.replace([...present.values(), ...held, ...this.daemons.all])
  }

  private check (): void {
    const now = this.clock.now()
    const expired = [...this.held].filter(([, { until }]) => now >= until).map(([name]) => name)
    for (const name of expired) this.held.delete(name)
    if (expired.length > 0) this.updateList()
    this.isWatcher = this.isAssignedWatcher()
    // One that leaves watching to others makes no call that could show it.
    if (!watchedKinds.some(kind => this.shouldWatch(kind))) this.recordAnswer({ by: 'watchers' })
    if (this.isStoreUnavailable) this.requestFromRandom()
    if (this.isWatcher && now >= this.nextHeartbeatAt) this.sendHeartbeat(now)
  }

  private sendHeartbeat (now: number): void {
    const ages = new Map([...this.answeredAt].map(([kind, at]) => [kind, now - at]))
    this.nextHeartbeatAt = now + this.publisher.sendHeartbeat(ages)
  }

  /**
   * How long a server whose entry has gone is still used by what this daemon knows of the store, ms. One for which the store has
   * been there all the time knows that what went has gone; one that was turned away by the store alone takes its word, and doesn't
   * go on using a server that has left.
   */
  private planHold (): number | undefined {
    const now = this.clock.now()
    const until = planRemoval(now, { isUnavailable: this.isStoreUnavailable, recoveredAt: this.recoveredAt })
    return until === undefined ? undefined : until - now
  }

  /** One daemon at random: the next question goes to another. */
  private requestFromRandom (): void {
    const others = listOthers(this.members.all(), this.settings.instance)
    if (others.length > 0) this.publisher.requestMissing(others[this.random.below(others.length)]!)
  }
}

partRegistry.register({ name: 'fleet watch', part: FleetWatch, needs: ['members', 'peer links', 'instance list', 'daemon directory'] })
