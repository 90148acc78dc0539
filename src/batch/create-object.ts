import { Ok, type Result } from 'ts-results'
import type { ObjectStore } from '../store/object-store.js'
import type { StoreError } from '../store/store-error.js'

const MAX_ATTEMPTS = 3

/**
 * Creates an object, or returns the existing one. A write whose outcome is unknown is repeated: if it took effect,
 * the second attempt finds the object that the first one wrote.
 */
export async function createObject<T> (store: ObjectStore, kind: string, name: string, value: T): Promise<Result<T, StoreError>> {
  for (let tries = 1; ; tries++) {
    const written = await store.put(kind, name, value, 0, 'caller')
    if (written.ok) return Ok(value)
    if (written.val.type === 'conflict') return (await store.get<T>(kind, name, 'caller')).map(object => object.value)
    if (tries === MAX_ATTEMPTS || (written.val.type !== 'unavailable' && written.val.type !== 'unknown')) return written
  }
}
