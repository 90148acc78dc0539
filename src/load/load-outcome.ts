/** The outcome of one planned request. Times in ms from its sending. */
export interface LoadOutcome {
  readonly id: string
  readonly at: number
  /** Attempts; a caller retries at another address after a lost connection or a refusal. */
  readonly sends?: number
  readonly outcome: 'answered' | 'refused' | 'cut' | 'lost'
  /** Cause of a refusal or failure. */
  readonly cause?: string
  readonly status?: number
  /** Whether the refusal states that the request hasn't run. */
  readonly notRun?: boolean
  readonly retryAfter?: number
  readonly firstToken?: number
  /** Gaps between the chunks of a stream. */
  readonly gaps?: readonly number[]
  readonly total: number
  readonly text?: string
}
