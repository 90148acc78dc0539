import { accountLimits } from './account-limits.js'
import type { AccountPart } from './account-part.js'

type FlushState = Pick<AccountPart, 'closed' | 'mayMiss' | 'highestRate' | 'period' | 'lead'>

/** Lowest rate assumed, online requests per second: a run that has just started has no history. */
const MIN_RATE = 25

/**
 * Estimates how many online requests a part may lack, at most. A part closed by its run lacks none, and a part closed by other
 * daemons states its bound. An open part may lack the requests that start its next flush, and those that arrive during that
 * flush, at twice the highest rate so far. After an outage of the platform, of which `gap` ms is the longest known, it may also
 * lack those that arrived during it.
 */
export function estimateMissing ({ closed, mayMiss = 0, highestRate, period, lead }: FlushState, gap: number): number {
  if (closed) return mayMiss
  const outage = Math.max(0, gap - period)
  return Math.ceil(lead + 2 * Math.max(highestRate, MIN_RATE) * (accountLimits.maxFlushTime + outage) / 1_000)
}
