/** How long after a process of a daemon began or ended jobs may be missing from the registry of every daemon, ms. */
const RECENT_TIME = 30_000
/** Time between two searches in that time, and otherwise, ms. */
const RECENT_PERIOD = 4_000
const QUIET_PERIOD = 20_000

interface SearchOptions {
  /** Wall-clock ms, by which daemons agree on the turn. */
  readonly date: number
  /** Since a process of a daemon began or ended, ms. */
  readonly sinceChange: number
}

/**
 * Returns the name of the present turn of searching the store for jobs, by which daemons rank. Each turn has another first daemon, so that
 * one that can't reach the store doesn't stop the searches. They go on without an open job too: one that no registry has isn't known to be open.
 *
 * @example
 * findSearchTurn({ date: 9_000, sinceChange: 0 }) // 'recent 2'
 */
export function findSearchTurn ({ date, sinceChange }: SearchOptions): string {
  if (sinceChange < RECENT_TIME) return `recent ${Math.floor(date / RECENT_PERIOD)}`
  return `quiet ${Math.floor(date / QUIET_PERIOD)}`
}
