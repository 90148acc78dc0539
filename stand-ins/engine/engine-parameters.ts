/**
 * How the stand-in engine behaves. The defaults are chosen, not measured on an accelerator: a step that slows
 * linearly with the running batch, prefill that costs time in proportion to uncached prompt tokens and is chunked
 * between decode steps, and a prefix cache of whole blocks in the memory that running sequences leave over, are the
 * commonly described shape of continuous batching (Orca, vLLM, Sarathi-Serve). What tests compare are ratios within
 * one run.
 */
export interface EngineParameters {
  /** ms of one decode step with one running sequence. */
  readonly stepBase: number
  /** ms added to a step by each further running sequence. */
  readonly stepPerSequence: number
  /** ms to prefill one prompt token that isn't cached. */
  readonly prefillPerToken: number
  /** ms to take in one token of imported KV cache. */
  readonly importPerToken: number
  /** Prompt tokens prefilled in one step at most. */
  readonly prefillChunk: number
  /** Tokens of KV cache shared by running sequences and cached prefixes. */
  readonly memoryTokens: number
  /** Tokens in one block of the prefix cache. */
  readonly blockTokens: number
  /** Sequences that may run at once. */
  readonly maxRunning: number
  /** ms by which a load report lags. */
  readonly loadLag: number
  /** ms by which cache events lag. */
  readonly cacheEventLag: number
  /** Share of cache events that are never told. */
  readonly cacheEventGaps: number
  /** Whether orders with an old fencing number are refused. */
  readonly checksFencing: boolean
  /** Models loaded at the start. */
  readonly models: readonly string[]
  readonly role: string
  /** Bytes of weights that one load reads from the weight store. */
  readonly weightBytes: number
  /** Rate of the weight store. */
  readonly weightBytesPerSecond: number
  /** File to which the id of each run is added as it starts; unlike the log it outlives the process. */
  readonly runFile?: string
  /**
   * Name by which each word of an answer carries its run, as `word@NAME/7`; off when absent, so that answers follow from
   * their prompts alone and tests compare them whole. Engines sample, and two runs of one prompt differ: without marks an
   * answer put together from two runs, or a recorded result that a later run's replaced, reads like a right one.
   */
  readonly runMark?: string
  /** Seeds the random choices: gaps in cache events, answers that a fault hits. */
  readonly seed: number
}
