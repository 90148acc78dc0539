import { Ok, type Result } from 'ts-results'
import type { ObjectStore } from '../../store/object-store.js'
import type { StoreError } from '../../store/store-error.js'
import type { Chunk } from '../chunks/chunk.js'
import type { ItemResult } from './item-result.js'

/** Reads all recorded results of a chunk, including those in parts, by the index of the item. */
export async function readResults (store: ObjectStore, chunk: Chunk): Promise<Result<Readonly<Record<string, ItemResult>>, StoreError>> {
  let all: Readonly<Record<string, ItemResult>> = {}
  for (const { name } of chunk.parts) {
    const part = await store.get<Readonly<Record<string, ItemResult>>>('part', name, 'caller')
    if (part.err) return part
    all = { ...all, ...part.val.value }
  }
  return Ok({ ...all, ...chunk.results })
}
