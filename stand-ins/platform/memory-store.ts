import { Err, Ok, type Result } from 'ts-results'
import type { Instance } from '../../src/store/instance.js'
import type { ObjectStore } from '../../src/store/object-store.js'
import type { StoreError } from '../../src/store/store-error.js'
import type { ObjectPage } from '../../src/store/object-page.js'
import { readObjectPage } from '../../src/store/read-object-page.js'
import type { StoredObject } from '../../src/store/stored-object.js'
import type { WatchBatch } from '../../src/store/watch-batch.js'
import { ObjectTable } from './object-table.js'

/** A call, as passed to `fault`. */
interface StoreCall { readonly call: 'get' | 'put' | 'delete' | 'list' | 'watch' | 'instances', readonly kind: string, readonly name: string }

/**
 * The effect of a fault on a call: none, failure before it takes effect, loss of the reply after it took effect, an error
 * now and its effect at `runDelayed`, or (for a get, list or first watch) an answer from the last `keepSnapshot`.
 */
type FaultEffect = 'none' | 'old read' | { readonly fail: StoreError } | { readonly loseReply: StoreError } | { readonly landLater: StoreError }

/**
 * An in-memory object store for tests: the table of the stand-in platform, without processes or time.
 *
 * @example
 * const store = new MemoryStore()
 * store.fault = ({ call }) => call === 'put' ? { fail: { type: 'unavailable', reason: 'outage' } } : 'none'
 */
export class MemoryStore implements ObjectStore {
  /** Statuses written by `putStatus`, by `KIND/NAME`. */
  readonly statuses = new Map<string, unknown>()
  readonly objects = new ObjectTable(() => this.generation)
  readonly calls: StoreCall[] = []
  instances: readonly Instance[] = []
  fault: (call: StoreCall) => FaultEffect = () => 'none'
  private generation = 1
  private readonly delayed: Array<() => void> = []

  /** Makes the present state the one that 'old read' effects return. */
  keepSnapshot (): void {
    this.generation++
  }

  /** Applies the writes that faults held back, in the order in which they were sent. */
  runDelayed (): void {
    for (const run of this.delayed.splice(0)) run()
  }

  async get<T> (kind: string, name: string): Promise<Result<StoredObject<T>, StoreError>> {
    return await this.call({ call: 'get', kind, name }, old => {
      const object = old ? this.objects.readAt(kind, name, this.generation - 1) : this.objects.read(kind, name)
      return object === undefined ? Err({ type: 'missing' } as const) : Ok(copy(object) as StoredObject<T>)
    })
  }

  async put<T> (kind: string, name: string, value: T, version: number): Promise<Result<StoredObject<T>, StoreError>> {
    return await this.call({ call: 'put', kind, name }, () => {
      const written = this.objects.write(kind, name, copy(value), version)
      return typeof written === 'number' ? Err({ type: 'conflict', version: written } as const) : Ok(copy(written) as StoredObject<T>)
    })
  }

  async putStatus (kind: string, name: string, status: unknown): Promise<Result<void, StoreError>> {
    this.statuses.set(`${kind}/${name}`, status)
    return Ok(undefined)
  }

  async delete (kind: string, name: string, version: number): Promise<Result<void, StoreError>> {
    return await this.call({ call: 'delete', kind, name }, () => {
      if (this.objects.remove(kind, name, version)) return Ok(undefined)
      return Err({ type: 'conflict', version: this.objects.read(kind, name)?.version ?? 0 } as const)
    })
  }

  async list<T> (kind: string, { prefix = '', after = '', limit = 500 } = {}): Promise<Result<ObjectPage<T>, StoreError>> {
    return await this.call({ call: 'list', kind, name: prefix }, old => {
      const objects = old ? this.objects.listAt(kind, prefix, after, limit + 1, this.generation - 1) : this.objects.list(kind, prefix, after, limit + 1)
      return readObjectPage({ objects: copy(objects.slice(0, limit)) as StoredObject<T>[], isLast: objects.length <= limit })
    })
  }

  /** Returns at once, also when nothing has changed. */
  async watch<T> (kind: string, revision: number): Promise<Result<WatchBatch<T>, StoreError>> {
    return await this.call({ call: 'watch', kind, name: '' }, old => {
      const seen = old && revision < 0
        ? { revision: -1, changed: this.objects.listAt(kind, '', '', Infinity, this.generation - 1), deleted: [] }
        : { revision: this.objects.revision, ...this.objects.changesSince(kind, revision) }
      return Ok(copy(seen) as WatchBatch<T>)
    })
  }

  async listInstances (): Promise<Result<readonly Instance[], StoreError>> {
    return await this.call({ call: 'instances', kind: '', name: '' }, () => Ok(this.instances))
  }

  private async call<T> (call: StoreCall, run: (old: boolean) => Result<T, StoreError>): Promise<Result<T, StoreError>> {
    this.calls.push(call)
    const effect = this.fault(call)
    if (effect === 'none' || effect === 'old read') return run(effect === 'old read')
    if ('fail' in effect) return Err(effect.fail)
    if ('landLater' in effect) {
      this.delayed.push(() => run(false))
      return Err(effect.landLater)
    }
    run(false)
    return Err(effect.loseReply)
  }
}

function copy<T> (value: T): T {
  return structuredClone(value)
}
