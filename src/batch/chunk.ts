import type { Incarnation } from '../kernel/incarnation.js'
import type { ClosedChunk } from './closed-chunk.js'
import type { ItemResult } from './item-result.js'
import type { ResultPart } from './result-part.js'

/**
 * The claim and the results of one chunk of a job, in the object `chunk/JOB.N`. Items go by their place in the
 * chunk. The version of the object is what says who may write; a holder that lost its claim loses the race for it.
 */
export interface Chunk {
  /** Who runs it; absent when it is free. */
  readonly holder?: Incarnation
  readonly results: Readonly<Record<string, ItemResult>>
  /** Results that were moved out to keep this object small. */
  readonly parts: readonly ResultPart[]
  /** Non-idempotent items that may have been sent; without a result, their fate isn't known to anybody else. */
  readonly started: readonly number[]
  /** Set with the last result, or at the cancelling of the job; the chunk never changes again. */
  readonly closed?: ClosedChunk
}
