/** Runs and tokens in the engines' logs since a given time. */
export interface EngineWork {
  readonly onlineRuns: number
  readonly onlineTokens: number
  readonly batchRuns: number
  readonly batchTokens: number
  readonly batchFinished: number
  /** Tokens of cancelled batch runs that no later run resumed from. */
  readonly wastedTokens: number
}
