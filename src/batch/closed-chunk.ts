import type { Incarnation } from '../kernel/incarnation.js'
import type { Counts } from './counts.js'

/** How a chunk ended, and the run of a daemon that closed it. Only that run counts the chunk for the account. */
export interface ClosedChunk extends Counts {
  readonly by: Incarnation
}
