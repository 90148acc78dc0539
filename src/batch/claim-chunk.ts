import { Err, Ok, type Result } from 'ts-results'
import type { Incarnation } from '../kernel/incarnation.js'
import type { Chunk } from './chunk.js'
import type { Holding } from './holding.js'
import { isHolder } from './is-holder.js'
import { recordEntries } from './record-entries.js'

interface ClaimOptions {
  readonly name: string
  readonly items: number
  readonly by: Incarnation
  /** What the present holder's `holding` object says; absent where there is none. */
  readonly holding?: Holding
  /** Wall-clock ms. */
  readonly date: number
}

const emptyChunk: Chunk = { results: {}, parts: [], started: [] }

/**
 * The chunk as `by` claims it, or why it can't. A claim is free when its holder has let go, runs no more, has let
 * its lease lapse or doesn't list the chunk. Judging that wrongly costs double work and nothing else: the claim is
 * a conditional update, after which the earlier holder's own updates fail.
 *
 * An item that an earlier holder marked as started and that has no result may or may not have run. Its fate can't
 * be found out, so it ends here as unknown; running it again would be the second run that mustn't happen.
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
