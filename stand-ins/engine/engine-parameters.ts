/**
 * Parameters of the stand-in engine, a model of continuous batching as in Orca, vLLM or Sarathi-Serve: a step slows
 * linearly with the running batch, prefill costs time in proportion to uncached prompt tokens and is chunked between
 * decode steps, and a prefix cache of whole blocks uses the memory left by running sequences. The defaults describe no
 * particular accelerator, so tests compare ratios within one run.
 */
export interface EngineParameters {
  /** ms of one decode step with one running sequence. */
  readonly stepBase: number
  /** ms added to a step by each further running sequence. */
  readonly stepPerSequence: number
  /** ms to prefill one prompt token that isn't cached. */
  readonly prefillPerToken: number
  /** ms to import one token of KV cache. */
  readonly importPerToken: number
  /** Most prompt tokens prefilled in one step. */
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
  /** Share of cache events that are never published. */
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
  /** File to which the id of each run is appended as it starts; unlike the log, it survives the process. */
  readonly runFile?: string
  /**
   * Name with which each word of an answer is marked by its run, as `word@NAME/7`. Real engines sample, so that two runs of
   * a prompt differ: marks reveal an answer mixed from two runs, or a result replaced by that of a later run. If absent,
   * answers depend on their prompts alone.
   */
  readonly runMark?: string
  /** Seeds the random choices: lost cache events, answers that a fault affects. */
  readonly seed: number
}
