/** One step of a slope: a fleet of this size, and what is brought to it. */
export interface SlopeStep {
  readonly daemons: number
  readonly servers: number
  /** Online requests a second. */
  readonly rate: number
  /** Tokens of each answer. */
  readonly tokens: number
  /** Batch items, in jobs of `itemsPerJob`. */
  readonly jobs: number
  readonly itemsPerJob: number
  readonly callers: number
}
