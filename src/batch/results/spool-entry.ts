import type { ItemResult } from './item-result.js'

/** A result that is stored on disk while the platform is unavailable. */
export interface SpoolEntry {
  /** Name of the chunk object. */
  readonly chunk: string
  /** Number of items in the chunk. */
  readonly items: number
  /** Index of the item in the chunk. */
  readonly item: number
  readonly result: ItemResult
}
