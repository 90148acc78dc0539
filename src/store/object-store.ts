import type { Result } from 'ts-results'
import type { CallPriority } from './call-priority.js'
import type { Instance } from './instance.js'
import type { ObjectPage } from './object-page.js'
import type { StoreError } from './store-error.js'
import type { StoredObject } from './stored-object.js'
import type { WatchBatch } from './watch-batch.js'
import type { WatchOptions } from './watch-options.js'

/** The platform's object API as the parts use it; tests pass an in-memory implementation. */
export interface ObjectStore {
  get<T> (kind: string, name: string, priority?: CallPriority): Promise<Result<StoredObject<T>, StoreError>>
  /** Writes the object if its version is `version`; 0 requires that it doesn't exist. */
  put<T> (kind: string, name: string, value: T, version: number, priority?: CallPriority): Promise<Result<StoredObject<T>, StoreError>>
  /** Replaces the status of an object that another system owns, whatever its version. */
  putStatus (kind: string, name: string, status: unknown): Promise<Result<void, StoreError>>
  /** Deletes the object if its version is `version`. */
  delete (kind: string, name: string, version: number, priority?: CallPriority): Promise<Result<void, StoreError>>
  /** Lists objects of `kind` whose names begin with `prefix` and follow `after`, ordered by name, about `limit` or fewer. */
  list<T> (kind: string, options?: { readonly prefix?: string, readonly after?: string, readonly limit?: number, readonly priority?: CallPriority }): Promise<Result<ObjectPage<T>, StoreError>>
  /** Waits up to `wait` ms for changes of `kind` after `revision`; -1 returns the current state at once. */
  watch<T> (kind: string, revision: number, wait: number, options?: WatchOptions): Promise<Result<WatchBatch<T>, StoreError>>
  /** Lists the platform's instances. The list lags behind their actual state. */
  listInstances (): Promise<Result<readonly Instance[], StoreError>>
}
