/** What a route promises the jobs that are submitted on it. Times in ms. */
export interface JobTerms {
  /** From the first submission until all results are due. */
  readonly dueAfter: number
  /** From the first submission until an item may be given up; 0 where it may not. */
  readonly giveUpAfter: number
  /** Tokens of unfinished items that all callers together may have on the route; 0 for no limit. */
  readonly maxWaitingTokens: number
}
