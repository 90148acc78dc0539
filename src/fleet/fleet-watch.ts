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
import type { ChangeNotice } from './change-notice.js'
import { ChangePublisher } from './change-publisher.js'
import { ConfigurationConfirmer } from './configuration-confirmer.js'
import { DaemonDirectory } from './daemon-directory.js'
import { decodeHeartbeat } from './decode-heartbeat.js'
import { HeldServers } from './held-servers.js'
import { KindReader } from './kind-reader.js'
import { ObjectPacker } from './object-packer.js'
import { planRemoval } from './plan-removal.js'
import { unpackBatch } from './unpack-batch.js'
import { watchedKinds } from './watched-kinds.js'
import { WatcherContact } from './watcher-contact.js'
import { WatcherRanks } from './watcher-ranks.js'

const CONFIGURATION = 'configuration'
const INSTANCES = 'instances'
const CHECK_PERIOD = 500 // ms
/** Minimum interval between requests for missing changes, ms; a gap shows in the messages of several watchers at once. */
const MIN_REQUEST_INTERVAL = 250

/**
 * Keeps this daemon's configuration and list of backend servers up to date, from the store and from its peers.
 *
 * Two daemons of each failure domain watch the store and publish changes to the others, so that calls to the store don't grow with
 * the fleet. A daemon whose watchers are unresponsive watches the store itself; one that can't reach the store relies on its peers.
 * Messages may be lost. The watchers' heartbeats reveal missing changes, which the daemon then requests.
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
  private readonly packer = new ObjectPacker()
  private readonly publisher: ChangePublisher
  private readonly contact = new WatcherContact()
  /** Time of the store's last answer to this daemon, by kind, monotonic ms. */
  private readonly answeredAt = new Map<string, number>()
  private readonly held = new HeldServers()
  private readonly readers: ReadonlyMap<string, KindReader<any>>
  private isStoreUnavailable = false
  private recoveredAt = -Infinity
  private requestedAt = -Infinity
  private readonly confirmer: ConfigurationConfirmer
  private nextHeartbeatAt = -Infinity
  private readonly ranks: WatcherRanks
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
    @inject(Metrics) private readonly metrics: Metrics
  ) {
    const startedAt = clock.now()
    for (const kind of watchedKinds) metrics.gauge(`${kind}_age_ms`, () => Math.round(clock.now() - Math.max(startedAt, this.findAnswerTime(kind))))
    list.polled = false
    this.confirmer = new ConfigurationConfirmer({ store, clock, isReachable: () => !this.isStoreUnavailable, onRead: batch => this.receiveRead(batch) })
    this.ranks = new WatcherRanks({ settings, members, contact: this.contact })
    this.publisher = new ChangePublisher({ settings, members, links, packer: this.packer, mirrors: this.mirrors })
    this.readers = new Map([...this.mirrors].map(([kind, mirror]) => [kind, this.createReader(kind, mirror)]))
  }

  async start (): Promise<void> {
    this.daemons.subscribe(() => this.updateList())
    this.ranks.update()
    for (const reader of this.readers.values()) reader.start()
    this.cancel = this.clock.every(CHECK_PERIOD, () => this.check())
  }

  async stop (): Promise<void> {
    this.cancel()
    for (const reader of this.readers.values()) reader.stop()
  }

  /** Whether a list of backend servers has been received, from the store or from another daemon. */
  get hasServers (): boolean {
    return this.instances.cursor >= 0 || this.instances.list().size > 0
  }

  /** Returns how long ago the store or a watcher last confirmed the list of servers, ms. */
  readServersAge (): number {
    return this.clock.now() - this.findAnswerTime(INSTANCES)
  }

  /** Calls `listener` after each change of the servers. Returns a function that unsubscribes it. */
  subscribe (listener: () => void): () => void {
    return this.list.subscribe(listener)
  }

  /** Returns whether the configuration has been confirmed by the store recently, after a read of it if need be. */
  async confirmConfiguration (): Promise<boolean> {
    return await this.confirmer.confirm()
  }

  private createReader<T> (kind: string, mirror: StoreMirror<T>): KindReader<T> {
    const { store, clock, random } = this
    return new KindReader<T>({
      store,
      clock,
      random,
      kind,
      getCursor: () => mirror.cursor,
      getRole: () => this.ranks.findRole(kind, clock.now()),
      readAge: () => clock.now() - this.findAnswerTime(kind),
      onBatch: (batch, at) => this.applyBatch(kind, mirror, batch, at),
      onFailure: (error, began) => this.recordFailure(kind, error, began),
      onChecked: () => this.publisher.sendHeartbeatTo(this.ranks.all, this.listAnswerAges())
    })
  }

  /** Returns the time of the store's last answer to this daemon or a watcher about the kind, monotonic ms. */
  private findAnswerTime (kind: string): number {
    return Math.max(this.answeredAt.get(kind) ?? -Infinity, this.contact.findAnswerTime(kind))
  }

  /** Applies an answer that shows the store's state at `at` or later, monotonic ms; returns whether anything changed. */
  private applyBatch<T> (kind: string, mirror: StoreMirror<T>, batch: WatchBatch<T>, at: number): boolean {
    this.answeredAt.set(kind, Math.max(at, this.answeredAt.get(kind) ?? -Infinity))
    this.recordAnswer({ kind, revision: batch.revision })
    const before = this.instances.list()
    const changed = mirror.apply(batch)
    const hold = this.planHold()
    const released = hold === undefined ? this.endHolds(kind, batch) : []
    const names = [...changed, ...released]
    this.publisher.publish({ kind, names, sure: hold === undefined, hold })
    if (names.length > 0 || !this.list.known) this.applyChange({ kind, names }, before)
    return changed.length > 0
  }

  private recordAnswer (detail: Readonly<Record<string, unknown>>): void {
    if (!this.isStoreUnavailable) return
    this.isStoreUnavailable = false
    this.recoveredAt = this.clock.now()
    for (const reader of this.readers.values()) reader.restartWatch()
    this.log.write('info', 'fleet', 'the store answers again', detail)
  }

  private recordFailure (kind: string, error: StoreError, began: number): void {
    this.metrics.count('store_reads_failed_total', { kind, error: error.type })
    this.log.write('info', 'fleet', 'a read of the store failed', { kind, error: error.type, reason: 'reason' in error ? error.reason : undefined, time: Math.round(this.clock.now() - began) })
    // The answer to one read may be lost, or its connection dead, while the store answers others.
    if ([...this.answeredAt.values()].some(at => at > began)) return
    if (!this.isStoreUnavailable) this.log.write('warn', 'fleet', 'the store does not answer', { kind, error: error.type, reason: 'reason' in error ? error.reason : undefined })
    this.isStoreUnavailable = true
    if (this.holder.value.version === 0 || !this.list.known) this.requestFromRandom()
  }

  /** Applies changes from another daemon: a watcher's notice or the response to a request. */
  private receiveNotice ({ kind, batch, sure, hold }: PeerMessage, from: string): void {
    const mirror = this.mirrors.get(String(kind))
    if (mirror === undefined) return
    const unpacked = unpackBatch(batch, { mirror, packer: this.packer })
    if (unpacked.err) return this.log.write('warn', 'fleet', 'ignores malformed changes', { kind, from, reason: unpacked.val })
    const received = unpacked.val
    if (typeof sure === 'boolean') this.contact.recordNotice(String(kind), this.clock.now())
    const before = this.instances.list()
    const names = mirror.merge(received)
    if (names.length > 0) this.readers.get(String(kind))!.expectDelivery()
    const released = sure === true ? this.endHolds(String(kind), received) : []
    if (received.after !== undefined) this.requestIfBehind(String(kind), received.revision, from)
    if (names.length === 0 && released.length === 0) return
    const notice = { kind: String(kind), names: [...names, ...released], sure: sure as boolean | undefined, hold: hold as number | undefined }
    this.applyChange(notice, before)
    if (this.ranks.isWatcher) this.publisher.relay(notice, received, from)
  }

  private receiveHeartbeat (message: PeerMessage, from: string): void {
    const heartbeat = decodeHeartbeat(message)
    this.contact.recordHeartbeat(heartbeat, this.clock.now())
    for (const [kind, { published }] of heartbeat.kinds) this.requestIfBehind(kind, published, from)
  }

  /** Releases held servers that are certainly gone and returns their names. */
  private endHolds (kind: string, { deleted }: WatchBatch<unknown>): readonly string[] {
    return kind === INSTANCES ? this.held.drop(deleted) : []
  }

  /** Requests the missing changes from a daemon that has published everything up to `revision`, if this one is behind. */
  private requestIfBehind (kind: string, revision: number, from: string): void {
    const now = this.clock.now()
    if (revision <= (this.mirrors.get(kind)?.completeRevision ?? Infinity) || now < this.requestedAt + MIN_REQUEST_INTERVAL) return
    this.requestedAt = now
    this.log.write('info', 'fleet', 'requests missing changes', { kind, revision, complete: this.mirrors.get(kind)?.completeRevision, from })
    this.publisher.requestMissing(from)
  }

  /**
   * Applies changes of a kind. Deleted servers stay in use for the longer of this daemon's hold time and the sender's: a daemon that
   * doesn't watch the store doesn't notice a short outage, in which the entries of healthy servers expire. If the sender is sure of the
   * deletion, they are dropped at once, even if the store is unavailable to this daemon.
   */
  private applyChange ({ kind, names, sure = false, hold = 0 }: ChangeNotice, before: ReadonlyMap<string, Instance>): void {
    if (kind === CONFIGURATION) return this.applyConfiguration()
    const holdFor = sure ? 0 : Math.max(this.planHold() ?? 0, hold)
    const present = this.instances.list()
    for (const name of names) {
      const instance = before.get(name)
      const isHeld = holdFor > 0 && instance !== undefined && !present.has(name)
      if (isHeld) this.held.put(name, instance, this.clock.now() + holdFor)
      // A line for each server would delay the first requests of a daemon that has just started.
      if (before.size > 0) this.log.write('info', 'fleet', 'a server changed', { server: name, state: present.get(name)?.state ?? (isHeld ? 'held' : 'gone') })
    }
    if (before.size === 0) this.log.write('info', 'fleet', 'received the list of servers', { servers: present.size })
    this.updateList()
  }

  private receiveRead (batch: WatchBatch<Configuration>): void {
    if (this.configurations.merge(batch).length > 0) this.applyConfiguration()
  }

  private applyConfiguration (): void {
    for (const configuration of this.configurations.list().values()) {
      if (this.holder.offer(configuration)) this.log.write('info', 'fleet', 'a configuration is in force', { version: configuration.version, routes: Object.keys(configuration.routes ?? {}).length })
    }
  }

  private updateList (): void {
    const present = this.instances.list()
    this.held.drop(present.keys())
    if (this.instances.cursor >= 0 || present.size > 0 || this.daemons.all.length > 0) this.list.replace([...present.values(), ...this.held.list(), ...this.daemons.all])
  }

  private check (): void {
    const now = this.clock.now()
    if (this.held.dropExpired(now)) this.updateList()
    this.ranks.update()
    // A daemon that doesn't watch makes no call that would show the recovery.
    if (watchedKinds.every(kind => this.mirrors.get(kind)!.cursor >= 0 && this.ranks.findRole(kind, now).type === 'follower')) this.recordAnswer({ by: 'watchers' })
    if (this.isStoreUnavailable) this.requestFromRandom()
    if (this.ranks.isWatcher && now >= this.nextHeartbeatAt) this.sendHeartbeat(now)
  }

  private sendHeartbeat (now: number): void {
    const known = new Map(watchedKinds.map(kind => [kind, now - this.findAnswerTime(kind)]))
    this.nextHeartbeatAt = now + this.publisher.sendHeartbeat({ watchers: this.ranks.all, own: this.listAnswerAges(), known })
  }

  /** Lists the age of the store's newest answer to this daemon, by kind, ms. */
  private listAnswerAges (): ReadonlyMap<string, number> {
    const now = this.clock.now()
    return new Map([...this.answeredAt].map(([kind, at]) => [kind, now - at]))
  }

  /**
   * Returns how long a server whose entry was deleted stays in use, by this daemon's view of the store, ms; undefined if the store
   * is available and hasn't just recovered, so that the server is certainly gone.
   */
  private planHold (): number | undefined {
    const now = this.clock.now()
    const until = planRemoval(now, { isUnavailable: this.isStoreUnavailable, recoveredAt: this.recoveredAt })
    return until === undefined ? undefined : until - now
  }

  /** Requests missing changes from a random daemon, so that repeated requests reach different ones. */
  private requestFromRandom (): void {
    const others = listOthers(this.members.all(), this.settings.instance)
    if (others.length > 0) this.publisher.requestMissing(others[this.random.below(others.length)]!)
  }
}

partRegistry.register({ name: 'fleet watch', part: FleetWatch, needs: ['members', 'peer links', 'instance list', 'daemon directory'] })
