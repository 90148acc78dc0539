/** How one online request ended at a backend server, as its daemon reported it to the server's broker. */
export interface ServerOutcome {
  readonly daemon: string
  /** Whether the server didn't answer it, or answered with an error of its own. */
  readonly failed: boolean
  /** Monotonic ms at which the broker received the report. */
  readonly at: number
}
