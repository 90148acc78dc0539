import type { Incarnation } from '../kernel/incarnation.js'
import type { Counts } from './counts.js'

/** How a chunk ended, and who recorded it: that one, and nobody else, counts it for the account. */
export interface ClosedChunk extends Counts {
  readonly by: Incarnation
}
