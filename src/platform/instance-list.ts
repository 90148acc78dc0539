import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import type { Instance } from './instance.js'
import type { ObjectStore } from './object-store.js'

const POLL_PERIOD = 1_000

/**
 * The platform's instance list as last read. It lags, and is kept through an outage. Until it has been read once it
 * holds the seeds of the settings, so that a daemon started in an outage finds its peers.
 */
@scoped(Lifecycle.ContainerScoped)
export class InstanceList implements Part {
  all: readonly Instance[] = []
  /** Whether the platform itself has been read since the start. */
  hasRead = false
  private cancel = (): void => {}
  private readonly listeners = new Set<() => void>()

  constructor (
    @inject(tokens.store) private readonly store: ObjectStore,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(tokens.settings) settings?: Settings
  ) {
    this.all = (settings?.seeds ?? []).map(({ name, host, peerPort, failureDomain }) => ({ name, host, peerPort, failureDomain, pool: 'entry', port: 0, region: settings!.region, state: 'live' }))
  }

  async start (): Promise<void> {
    await this.read()
    this.cancel = this.clock.every(POLL_PERIOD, () => { void this.read() })
  }

  async stop (): Promise<void> {
    this.cancel()
  }

  subscribe (listener: () => void): void {
    this.listeners.add(listener)
  }

  /** Takes the list of another daemon, unless the platform has been read. */
  offer (instances: readonly Instance[]): void {
    if (!this.hasRead) this.take(instances)
  }

  private async read (): Promise<void> {
    const instances = await this.store.listInstances()
    if (instances.err) return
    this.hasRead = true
    this.take(instances.val)
  }

  private take (instances: readonly Instance[]): void {
    this.all = instances
    for (const listener of this.listeners) listener()
  }
}

partRegistry.register({ name: 'instance list', part: InstanceList })
