/** A batch item's answer as it comes in, over one or more runs. */
export interface BatchAnswer {
  /** Tokens of earlier runs and this one. */
  readonly tokens: readonly string[]
  /** How many of them earlier runs gave. */
  readonly resumed: number
  readonly id?: string
  readonly model?: string
  readonly created?: number
  readonly finish?: string
  readonly usage?: Readonly<Record<string, number>>
  /** The stream has named its end with `[DONE]`. */
  readonly done: boolean
}
