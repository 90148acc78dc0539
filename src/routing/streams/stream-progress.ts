/** Progress of a model's streamed answer, as relayed to the caller. */
export interface StreamProgress {
  /** Chunks with text relayed so far. */
  readonly tokenCount: number
  /** Id of the answer, taken from its first chunk. */
  readonly id?: string
  /** Whether a chunk gave a finish reason. */
  readonly finished: boolean
  /** Whether `[DONE]` was received. */
  readonly done: boolean
  /** Whether the answer can be continued from its tokens: it has one choice and plain text only. */
  readonly resumable: boolean
  /** Tokens from earlier servers, which the current one doesn't count in its usage. */
  readonly earlierTokenCount: number
  /** Completion tokens as counted by the servers, if they reported usage. */
  readonly usage?: number
}
