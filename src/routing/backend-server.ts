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
  /** Requests in flight there as far as known: ours, or its owner's count over all daemons where that is higher. */
  readonly load: number
  /** Requests of this daemon that may be in flight there; 0 while it is ejected. */
  readonly limit: number
  /** Requests of all daemons that may be in flight there, by its owner. */
  readonly totalLimit: number
}
