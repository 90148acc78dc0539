/** Consecutive chunks whose items are all of one service. */
export interface ServiceChunks {
  readonly service: string
  /** Number of items of each chunk, in the order of the chunk numbers. */
  readonly sizes: readonly number[]
}
