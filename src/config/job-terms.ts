/** Terms for the jobs submitted on a route. Times in ms. */
export interface JobTerms {
  /** Time from the first submission until all results are due. */
  readonly dueAfter: number
  /** Time from the first submission after which an item may be abandoned; 0 for never. */
  readonly giveUpAfter: number
  /** Most tokens of a caller's unfinished items on the route, or of all items where requests need no key; 0 for no limit. */
  readonly maxWaitingTokens: number
}
