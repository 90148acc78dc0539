import type { Incarnation } from '../../kernel/incarnation.js'
import type { ClosedChunk } from './closed-chunk.js'
import type { ItemResult } from '../results/item-result.js'
import type { ResultPart } from '../results/result-part.js'

/**
 * The claim and the results of one chunk of a job, stored as `chunk/JOB.N`. Items are identified by their index in
 * the chunk. Updates are conditional on the version of the object, so a holder that has lost its claim gets a
 * conflict.
 */
export interface Chunk {
  /** The daemon process that holds the chunk; absent if it is free. */
  readonly holder?: Incarnation
  readonly results: Readonly<Record<string, ItemResult>>
  /** Results that were moved to objects of their own to keep this one small. */
  readonly parts: readonly ResultPart[]
  /** Non-idempotent items that may have been sent. Of those without a result only the holder knows whether they ran. */
  readonly started: readonly number[]
  /** Set with the last result, or when the job is cancelled. The chunk never changes afterwards. */
  readonly closed?: ClosedChunk
}
