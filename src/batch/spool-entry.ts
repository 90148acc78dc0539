import type { ItemResult } from './item-result.js'

/** A result that waits on disk for the platform. */
export interface SpoolEntry {
  /** Name of the chunk object, and how many items the chunk has. */
  readonly chunk: string
  readonly items: number
  /** The item's place in the chunk. */
  readonly item: number
  readonly result: ItemResult
}
