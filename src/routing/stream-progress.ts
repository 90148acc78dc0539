/** How far a model's streamed answer has come, as it was relayed to the caller. */
export interface StreamProgress {
  /** Pieces of text given so far, one a chunk. */
  readonly tokenCount: number
  /** Id of the answer: that of its first chunk. */
  readonly id?: string
  /** A chunk has named why the answer ended. */
  readonly finished: boolean
  /** `[DONE]` has come. */
  readonly done: boolean
  /** Whether the tokens are all there is to continue from: one choice and plain text. */
  readonly resumable: boolean
  /** Tokens that earlier servers gave, which the present one doesn't count. */
  readonly earlierTokenCount: number
  /** Completion tokens by the servers' own count, where they gave one. */
  readonly usage?: number
}
