/** Shortest pause in ms. */
const MIN_PAUSE = 1_000
/** Longest pause in ms. */
const MAX_PAUSE = 60_000
/** ms of pause for each daemon of the fleet; all daemons together search about 5 times a second. */
const PAUSE_PER_DAEMON = 200

/**
 * Returns the time in ms that a daemon that found no work for a service waits before it searches again. Peer messages
 * announce submitted and freed work; the search finds what they missed. The pause grows with the fleet to bound the
 * listings of all idle daemons together: otherwise 380 would make 380 a second for each service.
 */
export function planSearchPause (daemons: number): number {
  return Math.min(MAX_PAUSE, Math.max(MIN_PAUSE, daemons * PAUSE_PER_DAEMON))
}
