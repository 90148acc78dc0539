/** A model that engines serve, with the targets that its users feel. */
export interface Model {
  /** Target for the time to first token, ms at the 95th percentile. */
  readonly firstToken: number
  /** Target for the time between tokens, ms at the 95th percentile. */
  readonly betweenTokens: number
  /** Sequences an engine may have in flight, online and batch together. */
  readonly maxInFlight: number
  /** Whether its engines go on with an answer from the tokens in `resume_from`; false where it is left out. */
  readonly resume?: boolean
}
