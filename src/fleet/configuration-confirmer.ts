import type { Configuration } from '../config/configuration.js'
import type { Clock } from '../kernel/clock.js'
import { pauseFor } from '../kernel/pause-for.js'
import type { ObjectStore } from '../store/object-store.js'
import type { WatchBatch } from '../store/watch-batch.js'

/** Age of the configuration up to which it isn't read again, ms; a change must be in force within 3 s. */
const MAX_AGE = 1_000
/** Longest wait for a read, ms: the caller waits meanwhile. */
const TIMEOUT = 400

interface ConfirmerOptions {
  readonly store: Pick<ObjectStore, 'watch'>
  readonly clock: Clock
  /** Whether the store answered this daemon's last call. */
  readonly isReachable: () => boolean
  /** Receives the whole configuration after each read. */
  readonly onRead: (batch: WatchBatch<Configuration>) => void
}

/** Makes sure, before a key is rejected, that this daemon's configuration isn't older than the key. */
export class ConfigurationConfirmer {
  /** Beginning of the last read that was answered, monotonic ms. */
  private confirmedAt = -Infinity
  private reading: Promise<boolean> | undefined

  constructor (private readonly options: ConfirmerOptions) {}

  /**
   * Returns whether the configuration is at most `MAX_AGE` old, after one read of the store for all who ask meanwhile; false if the store
   * can't be reached or doesn't answer soon.
   */
  async confirm (): Promise<boolean> {
    const { clock, isReachable } = this.options
    if (clock.now() < this.confirmedAt + MAX_AGE) return true
    if (!isReachable()) return false
    this.reading ??= Promise.race([this.read(), pauseFor(clock, TIMEOUT).then(() => false)]).finally(() => { this.reading = undefined })
    return await this.reading
  }

  private async read (): Promise<boolean> {
    const { store, clock, onRead } = this.options
    const began = clock.now()
    const batch = await store.watch<Configuration>('configuration', -1, 0)
    if (batch.err) return false
    this.confirmedAt = began
    onRead(batch.val)
    return true
  }
}
