import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { tokens } from '../kernel/tokens.js'
import type { ObjectStore } from '../platform/object-store.js'
import type { Configuration } from './configuration.js'
import { ConfigurationHolder } from './configuration-holder.js'

const WATCH_WAIT = 10_000
const RETRY_PAUSE = 250

/** Keeps the configuration up to date with the manifest at the platform. */
@scoped(Lifecycle.ContainerScoped)
export class ConfigurationWatch implements Part {
  private running = true

  constructor (
    @inject(tokens.store) private readonly store: ObjectStore,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(ConfigurationHolder) private readonly holder: ConfigurationHolder
  ) {}

  async start (): Promise<void> {
    void this.follow()
  }

  async stop (): Promise<void> {
    this.running = false
  }

  private async follow (): Promise<void> {
    let revision = -1
    while (this.running) {
      const batch = await this.store.watch<Omit<Configuration, 'version'>>('configuration', revision, WATCH_WAIT)
      if (batch.err) {
        await new Promise<void>(resolve => this.clock.after(RETRY_PAUSE, resolve))
        continue
      }
      revision = batch.val.revision
      for (const { value, version } of batch.val.changed) this.holder.offer({ ...value, version })
    }
  }
}

partRegistry.register({ name: 'configuration', part: ConfigurationWatch })
