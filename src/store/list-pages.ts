import { Err, type Result } from 'ts-results'
import type { CallPriority } from './call-priority.js'
import type { ObjectStore } from './object-store.js'
import type { StoreError } from './store-error.js'
import type { StoredObject } from './stored-object.js'

const PAGE_SIZE = 100 // objects

interface ListOptions {
  readonly prefix?: string
  readonly after?: string
  readonly page?: number
  readonly priority?: CallPriority
}

/**
 * Yields all objects of a kind in pages until the store says that no more follow, and ends after an error. Objects written meanwhile may be
 * missed.
 *
 * @example
 * for await (const page of listPages<Instance>(store, 'daemons')) if (page.ok) add(page.val)
 */
export async function * listPages<T> (store: ObjectStore, kind: string, { prefix = '', after = '', page: limit = PAGE_SIZE, priority = 'background' }: ListOptions = {}): AsyncGenerator<Result<ReadonlyArray<StoredObject<T>>, StoreError>> {
  for (let from = after; ;) {
    const page = await store.list<T>(kind, { prefix, after: from, limit, priority })
    yield page.map(({ objects }) => objects)
    if (page.err || page.val.next === undefined) return
    if (page.val.next === from) return yield Err({ type: 'unavailable', reason: 'the store repeats a page of a list' })
    from = page.val.next
  }
}
