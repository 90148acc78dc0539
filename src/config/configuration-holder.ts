import { Lifecycle, scoped } from 'tsyringe'
import type { Configuration } from './configuration.js'
import { emptyConfiguration } from './empty-configuration.js'

/**
 * The configuration this daemon acts on. It only moves to higher versions, so that neither an old read of the
 * platform nor a peer that lags can make an accepted configuration revert.
 */
@scoped(Lifecycle.ContainerScoped)
export class ConfigurationHolder {
  private configuration = emptyConfiguration
  private readonly listeners = new Set<(configuration: Configuration) => void>()

  get value (): Configuration {
    return this.configuration
  }

  /** Resolves at once or when the first version is known. */
  async waitForFirst (): Promise<void> {
    if (this.configuration.version > 0) return
    await new Promise<void>(resolve => {
      const stop = this.subscribe(() => {
        stop()
        resolve()
      })
    })
  }

  /** Takes `next` if its version is higher than the present one; says whether it did. */
  offer (next: Configuration): boolean {
    if (next.version <= this.configuration.version) return false
    this.configuration = next
    for (const listener of this.listeners) listener(next)
    return true
  }

  subscribe (listener: (configuration: Configuration) => void): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }
}
