import type { StoredObject } from './stored-object.js'

/** A page of a list. */
export interface ObjectPage<T> {
  /** May be empty on any page: the store leaves out what wasn't asked for. */
  readonly objects: ReadonlyArray<StoredObject<T>>
  /** The name after which the list goes on; absent only where the store says that this is the last page. */
  readonly next?: string
}
