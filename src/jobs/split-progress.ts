import { countJsonBytes } from './count-json-bytes.js'
import type { ItemProgress } from './item-progress.js'
import { splitBySize } from './split-by-size.js'

/** Maximum bytes of progress in one message or stored object, in JSON. */
const MAX_PART_BYTES = 500_000

/**
 * Splits the progress of items into parts that fit into one message or stored object. Items with more progress than that are left out and begin
 * anew: a larger message would end the connection, and a larger object is refused each time.
 */
export function splitProgress (progress: readonly ItemProgress[]): ReadonlyArray<readonly ItemProgress[]> {
  return splitBySize(progress.filter(item => countJsonBytes(item) <= MAX_PART_BYTES), countJsonBytes, MAX_PART_BYTES)
}
