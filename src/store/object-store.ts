import type { Result } from 'ts-results'
import type { CallPriority } from './call-priority.js'
import type { Instance } from './instance.js'
import type { StoreError } from './store-error.js'
import type { StoredObject } from './stored-object.js'
import type { WatchBatch } from './watch-batch.js'

/** The platform's object API as the parts use it; a test passes an in-memory one. */
export interface ObjectStore {
  get<T> (kind: string, name: string, priority?: CallPriority): Promise<Result<StoredObject<T>, StoreError>>
  /** Writes if the object's version is `version`; 0 means that it must not exist yet. */
  put<T> (kind: string, name: string, value: T, version: number, priority?: CallPriority): Promise<Result<StoredObject<T>, StoreError>>
  /** Replaces what is said of the state of an object that another system wrote, whatever its version. */
  putStatus (kind: string, name: string, status: unknown): Promise<Result<void, StoreError>>
  /** Deletes if the object's version is `version`. */
  delete (kind: string, name: string, version: number, priority?: CallPriority): Promise<Result<void, StoreError>>
  /** Objects of `kind` whose names begin with `prefix`, in the order of names, at most `limit`, after `after`. */
  list<T> (kind: string, options?: { readonly prefix?: string, readonly after?: string, readonly limit?: number }): Promise<Result<readonly StoredObject<T>[], StoreError>>
  /** Waits up to `wait` ms for changes of `kind` after `revision`; -1 gives the present state at once. */
  watch<T> (kind: string, revision: number, wait: number, priority?: CallPriority): Promise<Result<WatchBatch<T>, StoreError>>
  /** The platform's instance list. It lags. */
  listInstances (): Promise<Result<readonly Instance[], StoreError>>
}
