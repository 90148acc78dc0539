import type { Incarnation } from '../../kernel/incarnation.js'
import type { Chunk } from './chunk.js'

/** Returns the chunk in its final state: without a holder, and with items without a result counted as cancelled. */
export function closeChunk (chunk: Chunk, { items, by }: { readonly items: number, readonly by: Incarnation }): Chunk {
  if (chunk.closed !== undefined) return chunk
  const inline = Object.values(chunk.results)
  const completed = inline.filter(({ type }) => type === 'completed').length + chunk.parts.reduce((sum, part) => sum + part.completed, 0)
  const failed = inline.filter(({ type }) => type === 'failed').length + chunk.parts.reduce((sum, part) => sum + part.failed, 0)
  const { holder, ...rest } = chunk
  return { ...rest, started: [], closed: { completed, failed, cancelled: items - completed - failed, by } }
}
