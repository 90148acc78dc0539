/** One step of a slope: the size of a fleet and its load. */
export interface SlopeStep {
  readonly daemons: number
  readonly servers: number
  /** Online requests per second. */
  readonly rate: number
  /** Tokens of each answer. */
  readonly tokens: number
  /** Batch jobs of `itemsPerJob` items each. */
  readonly jobs: number
  readonly itemsPerJob: number
  readonly callers: number
}
