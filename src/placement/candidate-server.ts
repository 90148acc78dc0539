/** One backend server as a place for requests. Counts are of all daemons, as far as told. */
export interface CandidateServer {
  readonly server: string
  readonly failureDomain: string
  /** Requests that the server runs at once. */
  readonly slots: number
  readonly online: number
  readonly batch: number
  /** Batch items that this daemon runs there, which it can stop at once. */
  readonly ownBatch: number
}
