import type { Incarnation } from '../../kernel/incarnation.js'
import { failUnreachable } from '../../kernel/unreachable.js'
import type { Chunk } from '../chunks/chunk.js'
import type { ChunkEntry } from '../chunks/chunk-entry.js'
import { closeChunk } from '../chunks/close-chunk.js'
import { isHolder } from '../chunks/is-holder.js'
import { listRecorded } from './list-recorded.js'

/**
 * Returns the chunk with `entries` of `by` recorded. The first recorded result of an item wins: otherwise a holder
 * that was paused beyond its claim could overwrite the results of its successor, and a caller would read two
 * different results. Started marks and releases are applied only if they come from the holder.
 */
export function recordEntries (chunk: Chunk, entries: readonly ChunkEntry[], { items, by }: { readonly items: number, readonly by: Incarnation }): Chunk {
  if (chunk.closed !== undefined) return chunk
  const next = entries.reduce((present, entry) => recordEntry(present, entry, by), chunk)
  return listRecorded(next).size === items ? closeChunk(next, { items, by }) : next
}

function recordEntry (chunk: Chunk, entry: ChunkEntry, by: Incarnation): Chunk {
  const byHolder = isHolder(chunk, by)
  switch (entry.type) {
    case 'result': return listRecorded(chunk).has(entry.item) ? chunk : { ...chunk, results: { ...chunk.results, [entry.item]: entry.result } }
    case 'started': return byHolder && !chunk.started.includes(entry.item) ? { ...chunk, started: [...chunk.started, entry.item] } : chunk
    case 'not started': return byHolder ? { ...chunk, started: chunk.started.filter(item => item !== entry.item) } : chunk
    case 'released': return byHolder ? { ...chunk, holder: undefined } : chunk
    default: return failUnreachable(entry)
  }
}
