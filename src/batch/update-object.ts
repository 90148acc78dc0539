import { Err, Ok, type Result } from 'ts-results'
import type { CallPriority } from '../store/call-priority.js'
import type { ObjectStore } from '../store/object-store.js'
import type { StoreError } from '../store/store-error.js'

const MAX_ATTEMPTS = 20

interface UpdateOptions<T> {
  /** Returns the same value to leave the object unchanged. Called again after a conflict. */
  readonly change: (value: T) => T
  readonly priority?: CallPriority
}

/** Applies a change until its conditional update succeeds, and returns the resulting value. */
export async function updateObject<T> (store: ObjectStore, kind: string, name: string, { change, priority = 'background' }: UpdateOptions<T>): Promise<Result<T, StoreError>> {
  for (let tries = 0; tries < MAX_ATTEMPTS; tries++) {
    const read = await store.get<T>(kind, name, priority)
    if (read.err) return read
    const next = change(read.val.value)
    if (next === read.val.value) return Ok(next)
    const written = await store.put(kind, name, next, read.val.version, priority)
    if (written.ok) return Ok(next)
    if (written.val.type !== 'conflict') return written
  }
  return Err({ type: 'unavailable', reason: 'too many conflicting updates of the object' })
}
