import { compareClass } from './compare-class.js'
import { isLate } from './is-late.js'
import type { RankedRequest } from './ranked-request.js'

/**
 * Compares two waiting requests of one caller; negative if `a` goes first. Requests that can still meet their target go before late ones:
 * under overload, a queue in order of arrival makes every request late, while a late request loses little by waiting longer.
 * This also covers retries that arrive late after all daemons were down. Those of a better class follow, then earlier ones.
 */
export function compareWaiting (a: RankedRequest, b: RankedRequest, now: number): number {
  return Number(isLate(a, now)) - Number(isLate(b, now)) || compareClass(a, b) || a.arrived - b.arrived
}
