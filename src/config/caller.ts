/** A client of the fleet: its credentials, and its share of capacity relative to other callers. */
export interface Caller {
  /** Weight of its share of capacity under contention. */
  readonly share: number
  /** Team, desk or organisation that reports group it under. */
  readonly team?: string
  /** SHA-256 of each of its bearer tokens, in hex. */
  readonly tokens: readonly string[]
}
