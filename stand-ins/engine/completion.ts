/** A completion request that has been checked. */
export interface Completion {
  readonly chat: boolean
  readonly model: string
  readonly prompt: string
  readonly tokens: number
  readonly stream: boolean
  /** Whether a stream ends with the counts of its tokens. */
  readonly includeUsage: boolean
  /** Answer tokens given by an earlier run; the answer goes on after them. */
  readonly resumeFrom: readonly string[]
  /** Handle of an exported KV cache to take in. */
  readonly kv?: string
}
