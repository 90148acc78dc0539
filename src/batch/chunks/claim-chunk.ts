import { Err, Ok, type Result } from 'ts-results'
import type { Incarnation } from '../../kernel/incarnation.js'
import type { Chunk } from './chunk.js'
import type { Holding } from './holding.js'
import { isHolder } from './is-holder.js'
import { recordEntries } from '../results/record-entries.js'

interface ClaimOptions {
  readonly name: string
  readonly items: number
  readonly by: Incarnation
  /** The `holding` object of the current holder, if there is one. */
  readonly holding?: Holding
  /** Wall-clock ms. */
  readonly date: number
}

const emptyChunk: Chunk = { results: {}, parts: [], started: [] }

/**
 * Returns the chunk as claimed by `by`, or why it can't be claimed. A chunk can be claimed when its holder has
 * released it, has been restarted, has let its lease expire or doesn't list the chunk. A wrong decision costs
 * duplicate work and nothing else: the claim is a conditional update, after which the earlier holder's updates
 * conflict.
 *
 * An item without a result that an earlier holder marked as started may or may not have run. There is no way to find
 * out, so it fails as unknown; running it again could be a second run.
 */
export function claimChunk (present: Chunk | undefined, { name, items, by, holding, date }: ClaimOptions): Result<Chunk, 'closed' | 'held'> {
  const chunk = present ?? emptyChunk
  if (chunk.closed !== undefined) return Err('closed')
  if (isHeld(chunk, name, by, holding, date)) return Err('held')
  const unknown = chunk.started.map(item => ({
    type: 'result' as const,
    item,
    result: { type: 'failed' as const, cause: 'unknown', detail: 'it may have run; it is not to be repeated' }
  }))
  return Ok(recordEntries({ ...chunk, holder: by, started: [] }, unknown, { items, by }))
}

function isHeld (chunk: Chunk, name: string, by: Incarnation, holding: Holding | undefined, date: number): boolean {
  const { holder } = chunk
  if (holder === undefined || isHolder(chunk, by)) return false
  if (holder.instance === by.instance && holder.started < by.started) return false
  return holding?.started === holder.started && holding.until > date && holding.chunks.includes(name)
}
