import { Err, Ok, type Result } from 'ts-results'
import type { ObjectPage } from './object-page.js'
import type { StoredObject } from './stored-object.js'
import type { StoreError } from './store-error.js'

/** A page as a dialect decodes it. `isLast` is absent where the store, or a daemon that relays the call, doesn't say whether more follows. */
interface DecodedPage<T> { readonly objects: ReadonlyArray<StoredObject<T>>, readonly isLast?: boolean, readonly next?: string }

/**
 * Reads where a list goes on. Where nothing says so, it goes on after the last object until a page is empty: a short page may have been cut by
 * its size. Fails where more follows and nothing says after which name.
 */
export function readObjectPage<T> ({ objects, isLast, next = objects.at(-1)?.name }: DecodedPage<T>): Result<ObjectPage<T>, StoreError> {
  if (isLast === true || (isLast === undefined && next === undefined)) return Ok({ objects })
  return next === undefined ? Err({ type: 'unavailable', reason: 'an empty page isn\'t the last' }) : Ok({ objects, next })
}
