/** A backend server as routing sees it. */
export interface BackendServer {
  readonly name: string
  readonly pool: string
  readonly failureDomain: string
  /** Base address. */
  readonly url: string
  readonly leaving: boolean
  /** Requests in flight there that this daemon knows of. */
  readonly inFlight: number
}
