import type { Incarnation } from '../../kernel/incarnation.js'
import type { Chunk } from './chunk.js'

/** Returns whether this daemon process holds the chunk; an earlier process on the same instance doesn't count. */
export function isHolder ({ holder }: Chunk, { instance, started }: Incarnation): boolean {
  return holder?.instance === instance && holder.started === started
}
