/** The newest report accepted from a reporter, which identifies reordered ones. */
interface NewestReport { readonly number: number, readonly receivedAt: number }

/** Online requests at one server, as last reported by one daemon. Times are monotonic ms of the owner. */
interface Report { readonly count: number, readonly receivedAt: number }

/** Online requests in flight at the servers of one owner, by reporting daemon. */
export interface OnlineCountsState {
  /** By server, then by reporter; counts of zero aren't stored. */
  readonly servers: ReadonlyMap<string, ReadonlyMap<string, Report>>
  readonly newest: ReadonlyMap<string, NewestReport>
}
