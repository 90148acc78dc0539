/** How large a hunt is and how long it lasts, ms. Small enough that two run beside each other on one machine. */
export const huntSize = {
  daemons: 4,
  engines: 4,
  services: 2,
  /** Troubles begin within this time after the load. */
  window: 8_000,
  longest: 6_000,
  mostTroubles: 4,
  /** Online load goes on for this long. */
  load: 18_000,
  /** Jobs have this long to end after the last trouble has. */
  settle: 90_000
} as const
