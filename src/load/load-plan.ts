/** What load to bring: a steady rate with bursts on top, from several callers. Times in ms, rates a second. */
export interface LoadPlan {
  readonly seed: number
  readonly duration: number
  readonly rate: number
  readonly burst: { readonly every: number, readonly length: number, readonly rate: number }
  readonly model: string
  /** Share of the requests that ask for a stream. */
  readonly streamed: number
  /** Tokens of an answer: between these two, evenly. */
  readonly tokens: readonly [number, number]
  /** Words of a prompt: between these two, evenly. */
  readonly promptWords: readonly [number, number]
  /** Bearer tokens of the callers that ask. */
  readonly callers: readonly string[]
}
