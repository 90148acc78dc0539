import { Err, type Result } from 'ts-results'
import { MemoryStore } from '../../../stand-ins/platform/memory-store.js'
import type { ObjectPage } from '../../../src/store/object-page.js'
import type { ObjectStore } from '../../../src/store/object-store.js'
import type { StoreError } from '../../../src/store/store-error.js'
import type { StoredObject } from '../../../src/store/stored-object.js'
import type { WatchBatch } from '../../../src/store/watch-batch.js'
import type { DaemonClock } from './daemon-clock.js'

/**
 * One daemon's access to the shared store: calls are held up while the daemon is paused, and some reads return old
 * versions.
 */
export class FaultyStore implements ObjectStore {
  private readonly earlier = new Map<string, StoredObject<any>>()
  private reads = 0
  /** One in this many reads returns the previous version; 0 for none. */
  oldReads = 0
  /** Time in ms of the simulation's clock until which this daemon can't reach the store. */
  cutUntil = -1
  /** Duration of each call in ms. */
  delay = 0

  constructor (private readonly shared: MemoryStore, private readonly clock: DaemonClock) {}

  async get<T> (kind: string, name: string): Promise<Result<StoredObject<T>, StoreError>> {
    const key = `${kind}/${name}`
    const earlier = this.earlier.get(key)
    const read = await this.pass(async () => await this.shared.get<T>(kind, name))
    if (read.ok) this.earlier.set(key, read.val)
    const old = this.oldReads > 0 && ++this.reads % this.oldReads === 0
    return old && read.ok && earlier !== undefined ? read.map(() => earlier) : read
  }

  async put<T> (kind: string, name: string, value: T, version: number): Promise<Result<StoredObject<T>, StoreError>> {
    return await this.pass(async () => await this.shared.put(kind, name, value, version))
  }

  async putStatus (kind: string, name: string, status: unknown): Promise<Result<void, StoreError>> {
    return await this.pass(async () => await this.shared.putStatus(kind, name, status))
  }

  async delete (kind: string, name: string, version: number): Promise<Result<void, StoreError>> {
    return await this.pass(async () => await this.shared.delete(kind, name, version))
  }

  async list<T> (kind: string, options = {}): Promise<Result<ObjectPage<T>, StoreError>> {
    return await this.pass(async () => await this.shared.list<T>(kind, options))
  }

  async watch<T> (kind: string, revision: number): Promise<Result<WatchBatch<T>, StoreError>> {
    return await this.shared.watch<T>(kind, revision)
  }

  async listInstances (): ReturnType<ObjectStore['listInstances']> {
    return await this.shared.listInstances()
  }

  private async pass<T> (call: () => Promise<Result<T, StoreError>>): Promise<Result<T, StoreError>> {
    await this.clock.waitResumed()
    if (this.clock.now() < this.cutUntil) return Err({ type: 'unavailable', reason: 'cut off' })
    const answer = await call()
    if (this.delay > 0) await new Promise<void>(resolve => this.clock.after(this.delay, resolve))
    await this.clock.waitResumed()
    return answer
  }
}
