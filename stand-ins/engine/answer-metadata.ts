/** What the frame around an answer's tokens needs. */
export interface AnswerMetadata {
  readonly id: string
  readonly model: string
  readonly chat: boolean
  /** Words of the whole answer. */
  readonly words: readonly string[]
  /** How many of them an earlier run gave. */
  readonly resumed: number
  readonly promptTokens: number
  readonly includeUsage: boolean
}
