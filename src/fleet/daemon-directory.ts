import { inject, Lifecycle, scoped } from 'tsyringe'
import { ConfigurationHolder } from '../config/configuration-holder.js'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { pauseFor } from '../kernel/pause-for.js'
import type { Random } from '../kernel/random.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import type { LogSink } from '../observe/log-sink.js'
import type { Instance } from '../store/instance.js'
import type { ObjectStore } from '../store/object-store.js'
import { listPages } from '../store/list-pages.js'
import { listSeeds } from '../store/list-seeds.js'

const KIND = 'daemons'
const RETRY = 500 // ms
/** How long the directory waits for the configuration, without which nothing can be served, ms. */
const CONFIGURATION_WAIT = 500

/**
 * Addresses of the other daemons, from the store. Each daemon registers its own address once and then reads the others', with the
 * seeds of the settings as the initial list; membership finds later ones. Addresses of replaced instances remain in the list, and
 * membership soon declares daemons that don't respond there dead.
 */
@scoped(Lifecycle.ContainerScoped)
export class DaemonDirectory implements Part {
  all: readonly Instance[]
  /** Whether the addresses have been read from the store. */
  isRead = false
  private readonly listeners = new Set<() => void>()
  private stopped = false

  constructor (
    @inject(tokens.store) private readonly store: ObjectStore,
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(tokens.random) private readonly random: Random,
    @inject(tokens.log) private readonly log: LogSink,
    @inject(ConfigurationHolder) private readonly configuration: Pick<ConfigurationHolder, 'waitForFirst'>
  ) {
    this.all = listSeeds(settings)
  }

  async start (): Promise<void> {
    void this.register()
  }

  async stop (): Promise<void> {
    this.stopped = true
  }

  subscribe (listener: () => void): void {
    this.listeners.add(listener)
  }

  private async register (): Promise<void> {
    await Promise.race([this.configuration.waitForFirst(), pauseFor(this.clock, CONFIGURATION_WAIT)])
    let isNew = false
    const read = this.repeat(async () => await this.read())
    await this.repeat(async () => {
      const written = await this.store.put<Instance>(KIND, this.settings.instance, this.readSelf(), 0)
      isNew = written.ok
      return written.ok || written.val.type === 'conflict'
    })
    await read
    // In a fleet that starts for the first time, others may have registered since.
    if (isNew) await this.repeat(async () => await this.read())
  }

  private async read (): Promise<boolean> {
    const found = new Map(this.all.map(instance => [instance.name, instance]))
    for await (const page of listPages<Instance>(this.store, KIND)) {
      if (page.err) return false
      for (const { name, value } of page.val) if (typeof value?.host === 'string') found.set(name, value)
    }
    this.all = [...found.values()]
    this.isRead = true
    this.log.write('info', 'fleet', 'read the addresses of daemons', { daemons: this.all.length })
    for (const listener of this.listeners) listener()
    return true
  }

  private async repeat (attempt: () => Promise<boolean>): Promise<void> {
    while (!this.stopped && !await attempt()) await pauseFor(this.clock, this.random.spread(RETRY, 0.5))
  }

  private readSelf (): Instance {
    const { instance: name, listen, failureDomain, region, cores } = this.settings
    return { name, host: listen.host, port: listen.port, peerPort: listen.peerPort, failureDomain, region, pool: 'entry', state: 'live', ...cores !== undefined && { cores } }
  }
}

partRegistry.register({ name: 'daemon directory', part: DaemonDirectory })
