/** A backend server that can take a request. A broker counts the requests of all daemons, a local queue only its own. */
export interface CandidateServer {
  readonly server: string
  readonly failureDomain: string
  /** Version of its software, for comparison with that of other servers. */
  readonly version: string
  /** Requests that the server runs concurrently. */
  readonly slots: number
  readonly online: number
  readonly batch: number
  /** Batch items that this daemon runs there and can stop at once. */
  readonly ownBatch: number
  /** Present if the server was ejected for failing requests, or was too slow, and has to answer some first; the requests that may probe it. */
  readonly probe?: 'repeatable' | 'any'
}
