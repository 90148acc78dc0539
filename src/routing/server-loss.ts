/** One end of a backend server's process, as one daemon saw it. */
export interface ServerLoss {
  readonly server: string
  /** Monotonic ms of this daemon at which it saw or heard of it. */
  readonly at: number
}
