import type { StoredObject } from './stored-object.js'

/** What a watch saw: changed objects, names of deleted ones, and the revision to go on from. */
export interface WatchBatch<T> {
  readonly revision: number
  readonly changed: readonly StoredObject<T>[]
  readonly deleted: readonly string[]
  /** Whether it holds all there is: what it doesn't name is gone. */
  readonly whole?: boolean
  /** The revision since which it holds or knows every change, where another daemon tells it. */
  readonly after?: number
  /** Changed objects that are left out, as the receiver should have them from another daemon. */
  readonly known?: readonly Pick<StoredObject, 'name' | 'version'>[]
}
