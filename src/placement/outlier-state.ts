import type { ServerOutcome } from './server-outcome.js'

/** What a broker knows of a server's answers to all daemons. */
export interface OutlierState {
  /** The latest outcomes, oldest first. */
  readonly recent: readonly ServerOutcome[]
  /** Ejections since the server last passed its probes; each one lasts longer. */
  readonly ejections: number
  /** Monotonic ms until which the server gets no requests; 0 if it isn't ejected. */
  readonly ejectedUntil: number
  /** Probes passed since the ejection. */
  readonly passes: number
}
