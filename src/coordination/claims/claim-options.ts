/** Options of a claim. Times in ms. */
export interface ClaimOptions {
  /** Name of the candidate, unique to one run of one process. */
  readonly self: string
  /** How long a successful write proves the claim, from when it was sent. */
  readonly authority?: number
  /** Longest time from the decision on an action to its effect. */
  readonly longestAction?: number
  /** Pause after a failed call. */
  readonly retryPause?: number
  /** How often a held claim is read again, to detect that it was lost. */
  readonly checkPeriod?: number
}
