/** Times in ms. */
export interface ClaimOptions {
  /** The candidate: unique to one run of one process. */
  readonly self: string
  /** How long after it was sent a successful write proves the claim. */
  readonly authority?: number
  /** Longest time from deciding on an action to its effect. */
  readonly longestAction?: number
  /** Pause after a failed call. */
  readonly retryPause?: number
  /** How often a held claim is read again, so that one lost unnoticed is given up. */
  readonly checkPeriod?: number
}
