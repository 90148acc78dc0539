/**
 * How the stand-in engine behaves. The defaults are chosen, not measured on an accelerator: a step that slows
 * linearly with the running batch and prefill that costs time in proportion to uncached prompt tokens are the
 * commonly described shape of continuous batching. What the tests compare are ratios within one run.
 */
export interface EngineParameters {
  /** ms of one decode step with one running sequence. */
  readonly stepBase: number
  /** ms added to a step by each further running sequence. */
  readonly stepPerSequence: number
  /** ms to prefill one prompt token that isn't cached. */
  readonly prefillPerToken: number
  /** Tokens of KV cache shared by running sequences and cached prefixes. */
  readonly memoryTokens: number
  /** Sequences that may run at once. */
  readonly maxRunning: number
  /** ms by which a load report lags. */
  readonly loadLag: number
  /** Whether orders with an old fencing number are refused. */
  readonly checksFencing: boolean
}
