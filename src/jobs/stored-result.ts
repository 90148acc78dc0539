import type { ListedResult } from './listed-result.js'

/** A result in a stored segment: whole, or with one piece of a text that is too large for one stored object. */
export interface StoredResult extends ListedResult {
  /** The number of the piece, counted from 0, and whether it is the last one. */
  readonly piece?: { readonly n: number, readonly isLast: boolean }
}
