import { createHash } from 'node:crypto'
import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import type { Instance } from './instance.js'
import { listSeeds } from './list-seeds.js'
import type { ObjectStore } from './object-store.js'

const POLL_PERIOD = 1_000
/** ms without a word from a daemon that reads the list, after which this one reads it itself. */
const READER_TIMEOUT = 6_000

/**
 * The platform's instance list as last heard. It lags, and is kept through an outage. Until it is known it holds the
 * seeds of the settings, so that a daemon started in an outage finds its peers.
 *
 * Only a few daemons read it, and the relay tells the others: with one read a second in each daemon, 380 daemons would
 * take a fifth of the platform's reads. A daemon whose readers have gone silent reads for itself until they are back.
 */
@scoped(Lifecycle.ContainerScoped)
export class InstanceList implements Part {
  all: readonly Instance[] = []
  /** Whether the platform, or a daemon that has read it, has been heard since the start. */
  known = false
  /** Whether the list is polled here; not where another part follows it and calls `replace`. */
  polled = true
  /** Whether this daemon is one of those that read the platform's list. */
  isReader = true
  /** Tells two lists apart. */
  digest = ''
  private confirmedAt: number
  private cancel = (): void => {}
  private readonly listeners = new Set<() => void>()

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
    return this.all.find(({ name }) => name === instance)
  }

  subscribe (listener: () => void): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  /** Takes the list of a daemon that has it, unless this one reads the platform itself and has done so. */
  offer (instances: readonly Instance[]): void {
    if (!this.isReader || !this.known) this.replace(instances)
  }

  /** Notes that a daemon which reads the list has the same one. */
  confirm (): void {
    this.confirmedAt = this.clock.now()
  }

  private async read (): Promise<void> {
    const instances = await this.store.listInstances()
    if (instances.ok) this.replace(instances.val)
  }

  /** Takes a list that is newer than the one held. */
  replace (instances: readonly Instance[]): void {
    this.confirm()
    this.known = true
    this.all = instances
    this.digest = createHash('sha256').update(JSON.stringify(instances)).digest('base64url').slice(0, 16)
    for (const listener of this.listeners) listener()
  }
}

partRegistry.register({ name: 'instance list', part: InstanceList })
