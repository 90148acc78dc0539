import { createHash } from 'node:crypto'
import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import { indexVersions } from './index-versions.js'
import type { Instance } from './instance.js'
import { listSeeds } from './list-seeds.js'
import type { ObjectStore } from './object-store.js'

const POLL_PERIOD = 1_000 // ms
/** Time without a list or confirmation from a reader after which a daemon reads from the platform itself, ms. */
const READER_TIMEOUT = 6_000

/**
 * The platform's instance list as last received. It lags, and is kept through an outage. Until one is received it holds
 * the seeds of the settings, so that a daemon started in an outage finds its peers.
 *
 * Only a few daemons read the list from the platform, to save its read rate, of which 380 daemons with a read a second
 * each would take a fifth, and `InstanceListRelay` passes it on to the
 * others. A daemon whose readers are unresponsive reads from the platform until they are back.
 */
@scoped(Lifecycle.ContainerScoped)
export class InstanceList implements Part {
  all: readonly Instance[] = []
  /** Whether a list has been received since the start, from the platform or from another daemon. */
  known = false
  /** Whether this part polls the platform; false where another part watches the list and calls `replace`. */
  polled = true
  /** Whether this daemon is one of those that read the list from the platform. */
  isReader = true
  /** Hash of the list, by which daemons compare theirs. */
  digest = ''
  private confirmedAt: number
  private cancel = (): void => {}
  private readonly listeners = new Set<() => void>()
  private readonly restartListeners = new Set<(server: string) => void>()
  private index: { readonly all: readonly Instance[], readonly byName: ReadonlyMap<string, Instance>, readonly versions: ReadonlyMap<string, string> } = { all: [], byName: new Map(), versions: new Map() }

  constructor (
    @inject(tokens.store) private readonly store: ObjectStore,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(tokens.settings) settings?: Settings
  ) {
    this.confirmedAt = clock.now()
    if (settings !== undefined) this.all = listSeeds(settings)
  }

  async start (): Promise<void> {
    if (!this.polled) return
    await this.read()
    this.cancel = this.clock.every(POLL_PERIOD, () => {
      if (this.isReader || this.clock.now() - this.confirmedAt >= READER_TIMEOUT) void this.read()
    })
  }

  async stop (): Promise<void> {
    this.cancel()
  }

  find (instance: string): Instance | undefined {
    return this.readIndex().byName.get(instance)
  }

  /** Returns the version of a server's software for comparison with that of others, see `indexVersions`; undefined if it isn't listed. */
  findVersion (server: string): string | undefined {
    return this.readIndex().versions.get(server)
  }

  subscribe (listener: () => void): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  /** Calls `listener` with each server that has started again under its name; what was known of its former process doesn't hold any more. */
  subscribeRestarts (listener: (server: string) => void): () => void {
    this.restartListeners.add(listener)
    return () => this.restartListeners.delete(listener)
  }

  /** Takes a list from another daemon; ignored where this one is a reader and has a list already. */
  offer (instances: readonly Instance[]): void {
    if (!this.isReader || !this.known) this.replace(instances)
  }

  /** Records that a reader has the same list. */
  confirm (): void {
    this.confirmedAt = this.clock.now()
  }

  private readIndex (): InstanceList['index'] {
    if (this.index.all !== this.all) this.index = { all: this.all, byName: new Map(this.all.map(entry => [entry.name, entry])), versions: indexVersions(this.all) }
    return this.index
  }

  private listRestarted (instances: readonly Instance[]): readonly string[] {
    const isRestarted = ({ name, startedAt }: Instance): boolean => startedAt !== undefined && startedAt !== (this.find(name)?.startedAt ?? startedAt)
    return instances.filter(isRestarted).map(({ name }) => name)
  }

  private async read (): Promise<void> {
    const instances = await this.store.listInstances()
    if (instances.ok) this.replace(instances.val)
  }

  /** Replaces the list with a newer one and notifies the listeners. */
  replace (instances: readonly Instance[]): void {
    const restarted = this.listRestarted(instances)
    this.confirm()
    this.known = true
    this.all = instances
    this.digest = createHash('sha256').update(JSON.stringify(instances)).digest('base64url').slice(0, 16)
    for (const server of restarted) for (const listener of this.restartListeners) listener(server)
    for (const listener of this.listeners) listener()
  }
}

partRegistry.register({ name: 'instance list', part: InstanceList })
