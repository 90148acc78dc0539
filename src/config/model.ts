/** A model that engines serve, with its latency targets. */
export interface Model {
  /** Target for the time to first token, ms at the 95th percentile. */
  readonly firstToken: number
  /** Target for the time between tokens, ms at the 95th percentile. */
  readonly betweenTokens: number
  /** Most sequences that an engine may have in flight, online and batch together. */
  readonly maxInFlight: number
  /** Whether its engines can continue an answer from the tokens in `resume_from`; false if omitted. */
  readonly resume?: boolean
}
