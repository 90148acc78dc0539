/** Identifies one process of a daemon. Of two processes of the same instance the later one has the greater `started`. */
export interface Incarnation {
  readonly instance: string
  /** Wall-clock ms at which the process started. */
  readonly started: number
}
