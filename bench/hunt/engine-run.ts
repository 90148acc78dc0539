/** One run of an engine, as its run file has it. */
export interface EngineRun {
  /** Id of the request or batch item that it ran. */
  readonly id: string
  /** Answer tokens given by earlier runs, and their hash. */
  readonly resumed: number
  readonly from: string
  /** Undefined while it runs, and for ever where its process ended. */
  readonly outcome?: 'finished' | 'cancelled'
}
