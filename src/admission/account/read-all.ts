import { Ok, type Result } from 'ts-results'
import { listPages } from '../../store/list-pages.js'
import type { ObjectStore } from '../../store/object-store.js'
import type { StoreError } from '../../store/store-error.js'
import type { StoredObject } from '../../store/stored-object.js'

/** Objects in a page. An object may have up to 1 MB, and parsing a page blocks the event loop. */
const PAGE = 20

/** Reads all objects of a kind whose names begin with `prefix`, page by page. */
export async function readAll<T> (store: ObjectStore, kind: string, prefix = ''): Promise<Result<ReadonlyArray<StoredObject<T>>, StoreError>> {
  const all: Array<StoredObject<T>> = []
  for await (const page of listPages<T>(store, kind, { prefix, page: PAGE })) {
    if (page.err) return page
    all.push(...page.val)
  }
  return Ok(all)
}
