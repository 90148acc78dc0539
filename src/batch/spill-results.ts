import { randomUUID } from 'node:crypto'
import { Ok, type Result } from 'ts-results'
import type { ObjectStore } from '../store/object-store.js'
import type { StoreError } from '../store/store-error.js'
import type { Chunk } from './chunk.js'
import type { ResultPart } from './result-part.js'

/** With a batch of 500 KB on top, a chunk stays below the platform's 1 MB. */
const MAX_INLINE_BYTES = 400_000

/**
 * Moves the results of a chunk that has grown large into an object of their own. That object has a name nobody
 * else uses, and counts only once the chunk names it: a holder that dies in between leaves an object that nothing
 * refers to, and the clean-up of the job takes it.
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
