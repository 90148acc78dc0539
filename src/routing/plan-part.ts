interface PartOptions {
  /** Requests of all daemons that may be in flight at the server; undefined while its owner hasn't said. */
  readonly limit: number | undefined
  /** What the others have in flight there; undefined where that isn't known. */
  readonly others: number | undefined
  readonly daemons: number
}

/**
 * How much of a server's limit one daemon may use. Its even part is always its own, so that the limit holds without
 * a word between daemons; what the others don't use is lent to it. Several may borrow the same places until the next
 * count: the limit is then exceeded by what was lent twice, for as long as a count takes.
 */
export function planPart ({ limit, others, daemons }: PartOptions): number {
  if (limit === undefined) return Infinity
  const part = Math.ceil(limit / daemons)
  return Math.max(part, others === undefined ? 0 : limit - others)
}
