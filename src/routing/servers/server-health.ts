/** Health of a backend server, derived from this daemon's own exchanges. */
export interface ServerHealth {
  /** Failures since the last answer. */
  readonly failures: number
  /** Monotonic ms of the last failure. */
  readonly failedAt: number
  /** Monotonic ms until which the server isn't chosen; 0 if it isn't ejected. */
  readonly ejectedUntil: number
  /** Ejections since the last answer; the next one is longer with each. */
  readonly ejections: number
}
