/** Time within which a server registers again after the store recovers, ms: the platform's bound of 2 s plus latency. */
const REGISTER_WITHIN = 2_200

interface StoreState {
  /** Whether this daemon's last call to the store failed. */
  readonly isUnavailable: boolean
  /** Time of the store's last recovery after a failure, monotonic ms; -Infinity before the first. */
  readonly recoveredAt: number
}

/**
 * Returns until when a server whose entry was deleted stays in use, monotonic ms, or undefined to drop it at once.
 *
 * During an outage of the store, servers can't renew their entries, so all entries expire although the servers are healthy. If
 * they were dropped when the store recovers, the daemon would have no server until they have registered again. A server that hasn't
 * registered by then is gone.
 */
export function planRemoval (now: number, { isUnavailable, recoveredAt }: StoreState): number | undefined {
  if (isUnavailable) return now + REGISTER_WITHIN
  return now < recoveredAt + REGISTER_WITHIN ? recoveredAt + REGISTER_WITHIN : undefined
}
