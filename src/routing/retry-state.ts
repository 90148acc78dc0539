/** The state of a request for the decision to send it again. Times in monotonic ms. */
export interface RetryState {
  readonly idempotent: boolean
  /** Sends so far. */
  readonly attempts: number
  /** Whether any of them may have run. */
  readonly sent: boolean
  readonly deadline: number
}
