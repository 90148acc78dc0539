import { Lifecycle, scoped } from 'tsyringe'
import type { Configuration } from './configuration.js'
import { emptyConfiguration } from './empty-configuration.js'

/**
 * Holds the active configuration of this daemon. Its version only increases, so that neither a stale read of the
 * platform nor a lagging peer can revert an accepted configuration.
 */
@scoped(Lifecycle.ContainerScoped)
export class ConfigurationHolder {
  private configuration = emptyConfiguration
  private readonly listeners = new Set<(configuration: Configuration) => void>()

  get value (): Configuration {
    return this.configuration
  }

  /** Resolves once the first version is active. */
  async waitForFirst (): Promise<void> {
    if (this.configuration.version > 0) return
    await new Promise<void>(resolve => {
      const stop = this.subscribe(() => {
        stop()
        resolve()
      })
    })
  }

  /** Activates `next` if its version is higher than the current one; returns whether it did. */
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
