import type { ItemResult } from './item-result.js'

/** One thing that the holder of a chunk records in it, by the item's place in the chunk. */
export type ChunkEntry =
  | { readonly type: 'result', readonly item: number, readonly result: ItemResult }
  /** The item is about to be sent, and may not be sent again. */
  | { readonly type: 'started', readonly item: number }
  /** The item was never sent after all. */
  | { readonly type: 'not started', readonly item: number }
  /** The holder lets go of the chunk. */
  | { readonly type: 'released' }
