/** A run of chunks whose items are all of one service. */
export interface ServiceChunks {
  readonly service: string
  /** Items of each chunk, in the order of their numbers. */
  readonly sizes: readonly number[]
}
