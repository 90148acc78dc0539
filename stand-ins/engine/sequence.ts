/** One sequence in the engine's batch. */
export interface Sequence {
  readonly id: string
  /** Tokens to have in KV cache before the first new token: the prompt's and those resumed from. */
  readonly contextTokens: number
  /** Chained hashes of the whole blocks of prompt and answer, for the prefix cache; may be empty. */
  readonly blocks: readonly number[]
  /** Whether the context's KV cache is imported and not computed. */
  readonly imported: boolean
  /** Words of the whole answer, of which the first `done` are there already. */
  readonly words: readonly string[]
  /** How many of them an earlier run gave. */
  readonly resumed: number
  done: number
  /** Context tokens still to prefill; set when it is admitted. */
  prefillLeft: number
  /** Context tokens that it prefilled or took in so far, because they weren't cached. */
  prefilled: number
  cancelled: boolean
  /** Called at the end of the step that gave the token. */
  onToken (word: string, last: boolean): void
}
