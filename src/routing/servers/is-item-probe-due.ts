import type { ServerHealth } from './server-health.js'

/** Time since the last failure of an ejected server after which an item may probe it, ms. */
const ITEM_PROBE_PERIOD = 3_000

/**
 * Returns whether an item may probe an ejected server before the ejection ends. An ejection lasts up to half a minute, in which the
 * items of a daemon whose connections were cut would all wait; an item that fails can run elsewhere, an online request would be late.
 */
export function isItemProbeDue (health: ServerHealth | undefined, now: number): boolean {
  return health !== undefined && now < health.ejectedUntil && now >= health.failedAt + ITEM_PROBE_PERIOD
}
