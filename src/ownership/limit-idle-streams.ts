/**
 * Slots left free on an idle server, at most, and their share of all at most. They bound the step for which the first
 * online request of a burst waits.
 */
const HEADROOM = 6
const HEADROOM_SHARE = 0.3

/** Batch streams that a server without online requests may have; a small one keeps some as well. */
export function limitIdleStreams (maxInFlight: number): number {
  return Math.max(1, maxInFlight - Math.min(HEADROOM, Math.ceil(maxInFlight * HEADROOM_SHARE)))
}
