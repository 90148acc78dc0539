/** How large a hunt is and how long it lasts, ms. Small enough that two run beside each other on one machine. */
export const huntSize = {
  daemons: 4,
  engines: 4,
  services: 2,
  /** Troubles begin within this time after the load. */
  window: 8_000,
  maxDuration: 6_000,
  maxTroubles: 4,
  /** Online load goes on for this long. */
  loadTime: 18_000,
  /** Jobs have this long to end after the last trouble has. */
  settleTime: 90_000
} as const
