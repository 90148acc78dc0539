/** A backend server and its load, as this daemon knows them. */
export interface BackendServer {
  readonly name: string
  readonly pool: string
  readonly failureDomain: string
  /** Version of its software, for comparison with that of other servers. */
  readonly version: string
  /** Start of its process, Unix ms by the server's clock; undefined where the list doesn't state it. */
  readonly startedAt?: number
  /** Base URL. */
  readonly url: string
  /** Whether the instance list or the server's owner reports it as leaving or down; it then gets no new requests. */
  readonly leaving: boolean
  /** Requests from this daemon in flight at the server. */
  readonly inFlight: number
  /** Requests in flight at the server: ours, plus the other daemons' as last counted by its owner. */
  readonly load: number
  /** Most requests that this daemon may have in flight there; 0 while the server is ejected. */
  readonly limit: number
  /** Whether an item may probe it although it is ejected. */
  readonly isItemProbeDue?: boolean
}
