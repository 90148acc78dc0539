/** What one run on virtual time gave. Times in ms. */
export interface PolicyRun {
  readonly firstToken: number[]
  readonly betweenTokens: number[]
  batchTokens: number
  /** Of these, given while online requests were in flight. */
  besideTokens: number
  /** Time with no online request in flight. */
  idle: number
  preemptions: number
  /** Items that came back after giving way, and the context tokens that they prefilled again or took in. */
  resumes: number
  prefilledAgain: number
}
