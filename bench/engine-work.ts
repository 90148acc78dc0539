/** What the engines' own logs say was run between two moments. */
export interface EngineWork {
  readonly onlineRuns: number
  readonly onlineTokens: number
  readonly batchRuns: number
  readonly batchTokens: number
  readonly batchFinished: number
  /** Tokens of batch runs that were cancelled and that no later run took up. */
  readonly wastedTokens: number
}
