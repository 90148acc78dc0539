import { randomUUID } from 'node:crypto'
import { Ok, type Result } from 'ts-results'
import type { ObjectStore } from '../../store/object-store.js'
import type { StoreError } from '../../store/store-error.js'
import type { Chunk } from '../chunks/chunk.js'
import type { ResultPart } from './result-part.js'

/** With up to 500 KB of new results, a chunk stays below the 1 MB that the platform allows for a value. */
const MAX_INLINE_BYTES = 400_000

/**
 * Moves the results of a large chunk into an object of their own. It has a unique name and counts only once the chunk
 * refers to it: if the holder crashes before that, the object is removed with the job.
 */
export async function spillResults (store: ObjectStore, name: string, chunk: Chunk): Promise<Result<Chunk, StoreError>> {
  if (Buffer.byteLength(JSON.stringify(chunk.results)) <= MAX_INLINE_BYTES) return Ok(chunk)
  const results = Object.entries(chunk.results)
  const part: ResultPart = {
    name: `${name}.${randomUUID()}`,
    items: results.map(([item]) => Number(item)),
    completed: results.filter(([, { type }]) => type === 'completed').length,
    failed: results.filter(([, { type }]) => type === 'failed').length
  }
  const written = await store.put('part', part.name, chunk.results, 0)
  return written.map(() => ({ ...chunk, results: {}, parts: [...chunk.parts, part] }))
}
