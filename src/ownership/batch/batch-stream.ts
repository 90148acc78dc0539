/** A batch stream running on a server. */
export interface BatchStream {
  readonly id: string
  /** Estimated prompt tokens that the engine has to prefill for it; few if they are cached. */
  readonly prefill: number
  /** Whether its first token has arrived; until then it may wait or prefill in the engine. */
  readonly prefilled: boolean
}
