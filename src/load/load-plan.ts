/** Parameters of a load run: a steady rate, and bursts with a rate of their own, from several callers. Times in ms, rates per second. */
export interface LoadPlan {
  readonly seed: number
  readonly duration: number
  readonly rate: number
  readonly burst: { readonly every: number, readonly length: number, readonly rate: number }
  readonly model: string
  /** Share of requests with a streamed answer. */
  readonly streamed: number
  /** Tokens of an answer: uniform between these two, inclusive. */
  readonly tokens: readonly [number, number]
  /** Words of a prompt: uniform between these two, inclusive. */
  readonly promptWords: readonly [number, number]
  /** Bearer tokens of the callers. */
  readonly callers: readonly string[]
}
