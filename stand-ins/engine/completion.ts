/** A validated completion request. */
export interface Completion {
  readonly chat: boolean
  readonly model: string
  readonly prompt: string
  readonly tokens: number
  readonly stream: boolean
  /** Whether a stream ends with its token counts. */
  readonly includeUsage: boolean
  /** Answer tokens of earlier runs, after which the answer continues. */
  readonly resumeFrom: readonly string[]
  /** Handle of an exported KV cache to import. */
  readonly kv?: string
}
