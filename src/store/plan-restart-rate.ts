/** Share of the fleet's rate with which all daemons together begin again after an outage: all want at once what has waited. */
const RESTART_SHARE = 0.25

interface RestartOptions {
  /** Rate of a daemon that knows no better, calls a second: small enough for a fleet of hundreds. */
  readonly minRate: number
  /** What the platform serves to all daemons together, calls a second; undefined where that isn't known. */
  readonly fleetRate: number | undefined
  readonly daemons: number
}

/**
 * The rate with which a daemon's calls begin again after an outage, calls a second.
 *
 * Load pattern: a store that was away for some seconds, for which results and new jobs have waited in each daemon. Begun with two calls
 * a second whatever the fleet, six daemons refuse callers' jobs for two seconds more before a store that is idle.
 */
export function planRestartRate ({ minRate, fleetRate, daemons }: RestartOptions): number {
  return fleetRate === undefined ? minRate : Math.max(minRate, RESTART_SHARE * fleetRate / Math.max(1, daemons))
}
