/** What goes wrong at the stand-in service, set by POST /control/faults; each run is logged all the same. */
export interface ServiceFaults {
  /** Takes requests and never answers. */
  readonly silence?: boolean
  /** Ends the connection in the middle of each answer. */
  readonly cut?: boolean
  /** Time until the answer, ms. */
  readonly delay?: number
  /** Ends the process at the next request; its log goes with it. */
  readonly crash?: boolean
}
