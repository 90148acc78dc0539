/** Approximate size of one view in a frame, bytes. */
const VIEW_BYTES = 80
/** Budget of a daemon for receiving views, bytes per ms. */
const BYTES_PER_MS = 2
const MIN_PERIOD = 250

/**
 * Returns how often unchanged views are published again in a region with `servers` servers, in ms, so that receiving
 * all of them stays within the budget.
 */
export function planViewPeriod (servers: number): number {
  return Math.max(MIN_PERIOD, servers * VIEW_BYTES / BYTES_PER_MS)
}
