import type { Incarnation } from '../../kernel/incarnation.js'
import type { Counts } from '../counts.js'

/** How a chunk ended, and the daemon process that closed it. Only that process counts the chunk for the account. */
export interface ClosedChunk extends Counts {
  readonly by: Incarnation
}
