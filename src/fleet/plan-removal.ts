/** How long an entry may take to be back once the store has returned, ms: two seconds by the platform's word, and travel. */
const BACK_WITHIN = 2_200

interface StoreReach {
  /** Whether this daemon's last call to the store failed. */
  readonly away: boolean
  /** Monotonic ms at which the store answered again after a failure; -Infinity before the first. */
  readonly backAt: number
}

/**
 * Until when a server whose entry has gone is still used, monotonic ms; undefined to drop it at once.
 *
 * While the store is away, servers can't renew their entries, and all lapse at once though the servers are well. Dropped
 * at the store's return, they would leave the daemon with no server for the second or two in which they register anew.
 * Holding them for that long is enough, because one that isn't back by then has gone.
 */
export function planRemoval (now: number, { away, backAt }: StoreReach): number | undefined {
  if (away) return now + BACK_WITHIN
  return now < backAt + BACK_WITHIN ? backAt + BACK_WITHIN : undefined
}
