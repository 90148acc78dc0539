/** Shortest interval between a watcher's heartbeats, ms; three of them fit into the 2 s within which a change must take effect. */
const PERIOD = 500
/** Number of recipients beyond which the interval grows in proportion, to bound the bandwidth. */
const RECIPIENTS_PER_PERIOD = 24

/** Returns the interval between a watcher's heartbeats to `recipients` daemons, ms. */
export function planHeartbeat (recipients: number): number {
  return PERIOD * Math.max(1, Math.ceil(recipients / RECIPIENTS_PER_PERIOD))
}
