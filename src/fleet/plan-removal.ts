/** How long an entry may take to be back once the store has returned, ms: two seconds by the platform's word, and travel. */
const REGISTER_WITHIN = 2_200

interface StoreState {
  /** Whether this daemon's last call to the store failed. */
  readonly isUnavailable: boolean
  /** Monotonic ms at which the store answered again after a failure; -Infinity before the first. */
  readonly recoveredAt: number
}

/**
 * Until when a server whose entry has gone is still used, monotonic ms; undefined to drop it at once.
 *
 * While the store is away, servers can't renew their entries, and all lapse at once though the servers are well. Dropped
 * at the store's return, they would leave the daemon with no server for the second or two in which they register anew.
 * Holding them for that long is enough, because one that isn't back by then has gone.
 */
export function planRemoval (now: number, { isUnavailable, recoveredAt }: StoreState): number | undefined {
  if (isUnavailable) return now + REGISTER_WITHIN
  return now < recoveredAt + REGISTER_WITHIN ? recoveredAt + REGISTER_WITHIN : undefined
}
