import type { ItemProgress } from './item-progress.js'
import { splitBySize } from './split-by-size.js'

/** Maximum bytes of texts in one message or stored object. */
const MAX_PART_BYTES = 500_000

/** Splits the progress of items into parts that fit into one message or stored object. */
export function splitProgress (progress: readonly ItemProgress[]): ReadonlyArray<readonly ItemProgress[]> {
  return splitBySize(progress, ({ texts }) => texts.reduce((sum, text) => sum + text.length, 0), MAX_PART_BYTES)
}
