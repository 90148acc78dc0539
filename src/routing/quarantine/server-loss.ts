/** One exit of a backend server's process, as seen by this daemon. */
export interface ServerLoss {
  readonly server: string
  /** Monotonic ms of this daemon at which the loss was first detected. */
  readonly at: number
}
