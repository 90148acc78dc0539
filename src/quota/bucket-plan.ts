/** How one holder's bucket of a caller fills. */
export interface BucketPlan {
  /** Tokens per ms. */
  readonly rate: number
  readonly capacity: number
  /** Tokens at the start of a process. */
  readonly initial: number
}
