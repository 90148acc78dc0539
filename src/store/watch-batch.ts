import type { StoredObject } from './stored-object.js'

/** The result of a watch: changed objects, names of deleted ones, and the revision to resume from. */
export interface WatchBatch<T> {
  readonly revision: number
  readonly changed: readonly StoredObject<T>[]
  readonly deleted: readonly string[]
  /** Whether it holds all objects, so that any other has been deleted. */
  readonly whole?: boolean
  /** The revision after which it covers every change, in `changed`, `deleted` or `known`; in batches from other daemons. */
  readonly after?: number
  /** Changed objects that are left out because the receiver should have them from another daemon. */
  readonly known?: readonly Pick<StoredObject, 'name' | 'version'>[]
}
