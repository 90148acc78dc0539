/** Sizes and times of a hunt, ms; small enough to run two at once on one machine. */
export const huntSize = {
  daemons: 4,
  engines: 4,
  services: 2,
  /** Troubles begin within this time after the load starts. */
  window: 8_000,
  maxDuration: 6_000,
  maxTroubles: 4,
  /** Duration of the online load. */
  loadTime: 18_000,
  /** Time in which all jobs must end after load and troubles. */
  settleTime: 90_000
} as const
