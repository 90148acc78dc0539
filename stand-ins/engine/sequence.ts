/** One sequence in the engine's batch. */
export interface Sequence {
  readonly id: string
  readonly promptTokens: number
  readonly words: readonly string[]
  prefillLeft: number
  done: number
  cancelled: boolean
  onToken (word: string, last: boolean): void
}
