/** What came of one planned request. Times in ms from its sending. */
export interface LoadOutcome {
  readonly id: string
  readonly at: number
  /** Times it was sent; a caller sends again, elsewhere, when its connection is lost or it is told when to come back. */
  readonly sends?: number
  readonly outcome: 'answered' | 'refused' | 'cut' | 'lost'
  /** Cause of a refusal, or what went wrong. */
  readonly cause?: string
  readonly status?: number
  /** Whether the refusal said that the request did not run. */
  readonly notRun?: boolean
  readonly retryAfter?: number
  readonly firstToken?: number
  /** Gaps between the tokens of a stream. */
  readonly gaps?: readonly number[]
  readonly total: number
  readonly text?: string
}
