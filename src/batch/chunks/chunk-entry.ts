import type { ItemResult } from '../results/item-result.js'

/** An update that the holder of a chunk records in it. `item` is the item's index in the chunk. */
export type ChunkEntry =
  | { readonly type: 'result', readonly item: number, readonly result: ItemResult }
  /** The item is not idempotent and about to be sent; it must not be sent again. */
  | { readonly type: 'started', readonly item: number }
  /** The item was not sent after all. */
  | { readonly type: 'not started', readonly item: number }
  /** The holder releases the chunk. */
  | { readonly type: 'released' }
