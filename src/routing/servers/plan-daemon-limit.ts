interface DaemonLimitOptions {
  /** Most requests of all daemons at the server; undefined until its owner has reported it. */
  readonly limit: number | undefined
  /** Requests of the other daemons in flight there, if known. */
  readonly others: number | undefined
  readonly daemons: number
  /** Fraction of the limit reserved for this daemon under contention; an equal part when absent. */
  readonly fraction?: number
  /** Added before rounding a fractional part down, from 0 to 1; differs by daemon and server. */
  readonly rounding?: number
}

/**
 * Returns how much of a server's limit one daemon may use. An equal part is reserved for each daemon, which keeps the limit
 * without messages between daemons. `fraction` replaces it if demand differs between daemons; parts are rounded up at some
 * servers and down at others, so that they add up. Capacity that the others don't use may be borrowed. Several daemons may
 * borrow the same capacity until the next count, and exceed the limit by that much.
 */
export function planDaemonLimit ({ limit, others, daemons, fraction, rounding = 0.5 }: DaemonLimitOptions): number {
  if (limit === undefined) return Infinity
  const reserved = fraction === undefined ? Math.ceil(limit / daemons) : Math.floor(limit * fraction + rounding)
  return Math.max(reserved, others === undefined ? 0 : limit - others)
}
