import { Ok, type Result } from 'ts-results'
import { listPages } from './list-pages.js'
import type { ObjectStore } from './object-store.js'
import type { StoreError } from './store-error.js'
import type { StoredObject } from './stored-object.js'

interface ListRange { readonly prefix: string, readonly after?: string, readonly limit: number }

/**
 * Lists the first `limit` objects after `after`; fewer only where there are no more.
 *
 * @example
 * const first = await listUpTo(store, 'work', { prefix: 'drafts~', limit: 1 })
 */
export async function listUpTo<T> (store: ObjectStore, kind: string, { limit, ...range }: ListRange): Promise<Result<ReadonlyArray<StoredObject<T>>, StoreError>> {
  const found: Array<StoredObject<T>> = []
  for await (const page of listPages<T>(store, kind, { ...range, page: limit })) {
    if (page.err) return page
    found.push(...page.val)
    if (found.length >= limit) break
  }
  return Ok(found.slice(0, limit))
}
