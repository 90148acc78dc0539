/** A batch item of the model between two runs; `done` answer tokens are there already. */
export interface BatchItem {
  readonly id: string
  readonly promptTokens: number
  readonly words: readonly string[]
  readonly blocks: readonly number[]
  readonly done: number
}
