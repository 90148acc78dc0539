/** About what one view costs in a frame, bytes. */
const VIEW_BYTES = 80
/** What views may cost a daemon that hears them, bytes a ms. */
const BYTES_PER_MS = 2
const MIN_PERIOD = 250

/** How often unchanged views of `servers` in a region are told again, ms, so that hearing them all stays in budget. */
export function planViewPeriod (servers: number): number {
  return Math.max(MIN_PERIOD, servers * VIEW_BYTES / BYTES_PER_MS)
}
