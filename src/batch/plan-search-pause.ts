const MIN_PAUSE = 1_000
const MAX_PAUSE = 60_000
/** ms by which each daemon of the fleet lengthens the pause: with 200 ms the fleet looks 5 times a second in all. */
const PAUSE_PER_DAEMON = 200

/**
 * How long in ms a daemon that found no work for a service waits before it looks again. Submitted and freed work is told
 * by peer frames; looking again is only for what they missed. Without the factor for the fleet 380 idle daemons would
 * make 380 listings a second for each service.
 */
export function planSearchPause (daemons: number): number {
  return Math.min(MAX_PAUSE, Math.max(MIN_PAUSE, daemons * PAUSE_PER_DAEMON))
}
