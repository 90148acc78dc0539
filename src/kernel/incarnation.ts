/** Identifies one run of one daemon: two runs of the same instance differ, the later one being greater. */
export interface Incarnation {
  readonly instance: string
  /** Wall-clock ms at which the process started. */
  readonly started: number
}
