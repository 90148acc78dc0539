/** What the decision to send again rests on. Times in ms. */
export interface RetryState {
  readonly idempotent: boolean
  /** Sends so far. */
  readonly attempts: number
  /** Whether any of them can have run. */
  readonly sent: boolean
  readonly deadline: number
}
