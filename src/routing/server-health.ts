/** What this daemon's own exchanges say of a backend server. */
export interface ServerHealth {
  /** Failures since the last answer. */
  readonly failures: number
  /** Monotonic ms until which it isn't chosen; 0 while it is in use. */
  readonly ejectedUntil: number
  /** Ejections since the last answer, which lengthen the next one. */
  readonly ejections: number
}
