import type { Incarnation } from '../kernel/incarnation.js'
import type { Chunk } from './chunk.js'

/** The chunk as it stays: items without a result are cancelled, and nobody holds it. */
export function closeChunk (chunk: Chunk, { items, by }: { readonly items: number, readonly by: Incarnation }): Chunk {
  if (chunk.closed !== undefined) return chunk
  const inline = Object.values(chunk.results)
  const completed = inline.filter(({ type }) => type === 'completed').length + chunk.parts.reduce((sum, part) => sum + part.completed, 0)
  const failed = inline.filter(({ type }) => type === 'failed').length + chunk.parts.reduce((sum, part) => sum + part.failed, 0)
  const { holder, ...rest } = chunk
  return { ...rest, started: [], closed: { completed, failed, cancelled: items - completed - failed, by } }
}
