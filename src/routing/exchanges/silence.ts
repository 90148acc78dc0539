/** A server that sends no byte for longer than usual, though its exchange is open. */
export interface Silence {
  /** Gives the exchange up as `silent` and closes its connection. */
  readonly abandon: () => void
  /** Aborted when bytes arrive or the exchange ends. */
  readonly signal: AbortSignal
}
