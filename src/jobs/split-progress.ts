import type { ItemProgress } from './item-progress.js'
import { splitBySize } from './split-by-size.js'

/** Bytes of texts in one message or object. */
const LIMIT = 500_000

/** Splits how far items have come into parts that a message, or an object of the store, can hold. */
export function splitProgress (progress: readonly ItemProgress[]): ReadonlyArray<readonly ItemProgress[]> {
  return splitBySize(progress, ({ texts }) => texts.reduce((sum, text) => sum + text.length, 0), LIMIT)
}
