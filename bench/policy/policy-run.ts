/** What one run on virtual time gave. Times in ms. */
export interface PolicyRun {
  readonly firstToken: number[]
  readonly betweenTokens: number[]
  batchTokens: number
  /** Time with no online request in flight. */
  idle: number
  preemptions: number
}
