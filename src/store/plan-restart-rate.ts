/** Share of the platform's rate with which the daemons together restart after an outage. */
const RESTART_SHARE = 0.25

interface RestartOptions {
  /** Lowest rate, calls a second, which is also used where the platform's rate isn't known; small enough for hundreds of daemons. */
  readonly minRate: number
  /** The platform's rate limit for all daemons together, calls a second; undefined where it isn't known. */
  readonly fleetRate: number | undefined
  readonly daemons: number
}

/**
 * Returns the rate at which a daemon's calls restart after an outage, calls a second. It depends on the number of daemons:
 * a rate that is safe for hundreds would make a few daemons refuse callers' jobs while the store is idle.
 */
export function planRestartRate ({ minRate, fleetRate, daemons }: RestartOptions): number {
  return fleetRate === undefined ? minRate : Math.max(minRate, RESTART_SHARE * fleetRate / Math.max(1, daemons))
}
