/** The newest message taken from a reporter, by which one that comes late is told. */
interface NewestReport { readonly number: number, readonly receivedAt: number }

/** What one daemon last told of its online requests at one server. Times are monotonic ms of the owner. */
interface Report { readonly count: number, readonly receivedAt: number }

/** Online requests in flight at the servers of one owner, by the daemon that told of them. */
export interface OnlineCountsState {
  /** By server, then by reporter; counts of zero aren't kept. */
  readonly servers: ReadonlyMap<string, ReadonlyMap<string, Report>>
  readonly newest: ReadonlyMap<string, NewestReport>
}
