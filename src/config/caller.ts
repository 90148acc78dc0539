/** A client of the fleet: its credentials, its share of capacity relative to other callers, and its quota of requests. */
export interface Caller {
  /** Weight of its share of capacity under contention. */
  readonly share: number
  /** Team, desk or organisation that reports group it under. */
  readonly team?: string
  /** SHA-256 of each of its bearer tokens or keys, in hex. */
  readonly tokens: readonly string[]
  /** Priority of its requests by host and path, before that of the route; 0 is the highest. */
  readonly priority?: number
  /** Requests per second over all daemons, by host and path; 0 or omitted for no limit. */
  readonly rate?: number
  /** Requests beyond the rate that may come at once. */
  readonly burst?: number
}
