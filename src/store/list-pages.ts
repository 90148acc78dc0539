import type { Result } from 'ts-results'
import type { CallPriority } from './call-priority.js'
import type { ObjectStore } from './object-store.js'
import type { StoreError } from './store-error.js'
import type { StoredObject } from './stored-object.js'

const PAGE_SIZE = 100 // objects

/** Yields all objects of a kind in pages, and ends after an error. Objects written meanwhile may be missed. */
export async function * listPages<T> (store: ObjectStore, kind: string, { prefix = '', page = PAGE_SIZE, priority = 'background' }: { readonly prefix?: string, readonly page?: number, readonly priority?: CallPriority } = {}): AsyncGenerator<Result<ReadonlyArray<StoredObject<T>>, StoreError>> {
  for (let after = ''; ;) {
    const objects = await store.list<T>(kind, { prefix, after, limit: page, priority })
    yield objects
    if (objects.err || objects.val.length < page) return
    after = objects.val.at(-1)!.name
  }
}
