/** A batch stream running on a server. */
export interface BatchStream {
  readonly id: string
  /** Prompt tokens that the engine has to prefill for it, as far as is known; few where they are in its cache. */
  readonly prefill: number
  /** Whether its first token has come: until then it may wait or prefill in the engine. */
  readonly prefilled: boolean
}
