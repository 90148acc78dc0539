/** One run of an engine, as recorded in its run file. */
export interface EngineRun {
  /** Id of the request or batch item that it ran. */
  readonly id: string
  /** Number of answer tokens of earlier runs that this one resumed after, and their hash. */
  readonly resumed: number
  readonly from: string
  /** Undefined while it runs, or if its process ended first. */
  readonly outcome?: 'finished' | 'cancelled'
}
