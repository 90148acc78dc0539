/** Latencies of one online request. Times in ms. */
export interface OnlineSample {
  /** The same for the requests of one second of one repeat, under every policy. */
  readonly block: string
  readonly firstToken: number
  readonly gaps: readonly number[]
}
