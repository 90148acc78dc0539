/** A batch item of the simulation that is not running; `done` of its answer tokens already exist. */
export interface BatchItem {
  readonly id: string
  readonly promptTokens: number
  readonly words: readonly string[]
  readonly blocks: readonly number[]
  readonly done: number
}
