/** The answer to a batch item, accumulated over one or more runs. */
export interface BatchAnswer {
  /** Tokens of earlier runs and of this one. */
  readonly tokens: readonly string[]
  /** How many of `tokens` are from earlier runs. */
  readonly resumed: number
  readonly id?: string
  readonly model?: string
  readonly created?: number
  readonly finish?: string
  readonly usage?: Readonly<Record<string, number>>
  /** Whether the stream has ended with `[DONE]`. */
  readonly done: boolean
}
