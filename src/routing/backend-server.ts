/** A backend server as routing sees it. */
export interface BackendServer {
  readonly name: string
  readonly pool: string
  readonly failureDomain: string
  /** Base address. */
  readonly url: string
  /** Leaving or down, by the platform's list or by its owner: it gets nothing new. */
  readonly leaving: boolean
  /** Requests of this daemon in flight there. */
  readonly inFlight: number
  /** Requests in flight there as far as known: ours, and what its owner last counted of the other daemons'. */
  readonly load: number
  /** Requests of this daemon that may be in flight there; 0 while it is ejected. */
  readonly limit: number
}
