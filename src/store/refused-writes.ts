/** For how long the platform must have refused this daemon's writes before they go through a peer, ms: single refusals share a limited rate. */
const MIN_REFUSED_TIME = 1_000
/** How long writes go through a peer before this daemon sends one itself again, ms. */
const RELAY_TIME = 5_000
/** Time between two searches for a peer, ms. A platform that refuses all daemons gets few further calls for them. */
const SEARCH_PERIOD = 1_000

/**
 * Decides which of a daemon's writes go through a peer while the platform refuses its own: the platform may limit some daemons or
 * failure domains, or be unavailable for their writes alone, and serve the others. Times in monotonic ms.
 */
export class RefusedWrites {
  /** Since when the platform has refused every write that this daemon sent itself; undefined while it takes them. */
  private refusedSince: number | undefined
  private relayedUntil = -Infinity
  private searchAt = -Infinity

  /** Records whether the platform refused a write that this daemon sent itself. */
  recordAnswer (isRefused: boolean, now: number): void {
    this.refusedSince = isRefused ? this.refusedSince ?? now : undefined
  }

  /** Whether writes go through a peer at once. */
  isRelayed (now: number): boolean {
    return now < this.relayedUntil
  }

  /** Returns whether a peer is to be searched for a write that has just been refused, and counts as the search. */
  beginSearch (now: number): boolean {
    if (now < (this.refusedSince ?? Infinity) + MIN_REFUSED_TIME || now < this.searchAt) return false
    this.searchAt = now + SEARCH_PERIOD
    return true
  }

  /** Records whether a peer reached the platform for a write. */
  recordRelay (isAnswered: boolean, now: number): void {
    if (!isAnswered) this.relayedUntil = -Infinity
    else if (!this.isRelayed(now)) this.relayedUntil = now + RELAY_TIME
  }
}
