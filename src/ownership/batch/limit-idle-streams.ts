/**
 * Most sequences kept free on an idle server, and their largest share of all. They bound the engine step for which the first
 * online request of a burst waits.
 */
const HEADROOM = 6
const HEADROOM_SHARE = 0.3

/** Returns how many batch streams a server without online requests may have, at least one. */
export function limitIdleStreams (maxInFlight: number): number {
  return Math.max(1, maxInFlight - Math.min(HEADROOM, Math.ceil(maxInFlight * HEADROOM_SHARE)))
}
