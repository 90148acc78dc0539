import { Err, Ok, type Result } from 'ts-results'
import type { ObjectStore } from '../platform/object-store.js'
import type { StoreError } from '../platform/store-error.js'
import type { StoredObject } from '../platform/stored-object.js'

const PAGE = 200

/** All objects of a kind, page by page. */
export async function readAll<T> (store: ObjectStore, kind: string): Promise<Result<readonly StoredObject<T>[], StoreError>> {
  const all: StoredObject<T>[] = []
  for (;;) {
    const page = await store.list<T>(kind, { after: all.at(-1)?.name ?? '', limit: PAGE })
    if (page.err) return Err(page.val)
    all.push(...page.val)
    if (page.val.length < PAGE) return Ok(all)
  }
}
