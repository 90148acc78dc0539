/** About what one view costs in a frame, bytes. */
const VIEW_BYTES = 80
/** What views may cost a daemon that hears them, bytes a ms. */
const BUDGET = 2
const SHORTEST = 250

/** How often unchanged views of `servers` in a region are told again, ms, so that hearing them all stays in budget. */
export function planViewPeriod (servers: number): number {
  return Math.max(SHORTEST, servers * VIEW_BYTES / BUDGET)
}
