interface DaemonLimitOptions {
  /** Requests of all daemons that may be in flight at the server; undefined while its owner hasn't said. */
  readonly limit: number | undefined
  /** What the others have in flight there; undefined where that isn't known. */
  readonly others: number | undefined
  readonly daemons: number
  /** Of the limit, what is this daemon's own while callers ask for more than there is; an even part when absent. */
  readonly fraction?: number
  /** Between 0 and 1, another one for each daemon and server: how a part that isn't whole is rounded. */
  readonly rounding?: number
}

/**
 * How much of a server's limit one daemon may use. Its even part is always its own, so that the limit holds without
 * a word between daemons; `fraction` takes its place where callers ask through some daemons more than others, rounded
 * up here and down there, so that the parts add up. What the others don't use is lent to it. Several may borrow the same places until the next
 * count: the limit is then exceeded by what was lent twice, for as long as a count takes.
 */
export function planDaemonLimit ({ limit, others, daemons, fraction, rounding = 0.5 }: DaemonLimitOptions): number {
  if (limit === undefined) return Infinity
  const reserved = fraction === undefined ? Math.ceil(limit / daemons) : Math.floor(limit * fraction + rounding)
  return Math.max(reserved, others === undefined ? 0 : limit - others)
}
