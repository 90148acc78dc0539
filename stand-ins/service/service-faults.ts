/** Faults of the stand-in service, set by POST /control/faults; each run is logged regardless. */
export interface ServiceFaults {
  /** Accepts requests and never answers. */
  readonly silence?: boolean
  /** Closes the connection in the middle of each answer. */
  readonly cut?: boolean
  /** Time until the answer, ms. */
  readonly delay?: number
  /** Ends the process at the next request; its log is lost. */
  readonly crash?: boolean
}
