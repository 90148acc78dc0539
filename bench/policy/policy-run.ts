/** The result of one simulation run. Times in ms. */
export interface PolicyRun {
  readonly firstToken: number[]
  readonly betweenTokens: number[]
  batchTokens: number
  /** Number of these that were generated while online requests were in flight. */
  besideTokens: number
  /** Time with no online request in flight. */
  idle: number
  preemptions: number
  /** Items resumed after preemption, and the context tokens that they prefilled again or imported. */
  resumes: number
  prefilledAgain: number
}
