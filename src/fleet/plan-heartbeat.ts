/** Between two heartbeats of a watcher, ms: three of them fit into the 2 s in which a change must be in force. */
const PERIOD = 500
/** Daemons to which a watcher sends one each period; with more, its heartbeats come as much less often. */
const RECIPIENTS_PER_PERIOD = 24

/** How long a watcher waits between two heartbeats to `told` daemons, ms. */
export function planHeartbeat (recipients: number): number {
  return PERIOD * Math.max(1, Math.ceil(recipients / RECIPIENTS_PER_PERIOD))
}
