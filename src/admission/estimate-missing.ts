import { accountLimits } from './account-limits.js'
import type { AccountPart } from './account-part.js'

type FlushState = Pick<AccountPart, 'closed' | 'mayMiss' | 'highestRate' | 'period' | 'lead'>

/** Least rate to reckon with, online requests a second: a run that was just started has seen none. */
const MIN_RATE = 25

/**
 * How many online requests a part may lack, at most. One that its run has closed lacks none, and of one that others have
 * closed they have said it. One that isn't closed: as many as it had said to set off its next flush, and what comes at
 * the highest rate seen, twice over, while that flush is under way; in an outage of the platform, of which `gap` ms is
 * the longest one known, what comes in that time.
 */
export function estimateMissing ({ closed, mayMiss = 0, highestRate, period, lead }: FlushState, gap: number): number {
  if (closed) return mayMiss
  const outage = Math.max(0, gap - period)
  return Math.ceil(lead + 2 * Math.max(highestRate, MIN_RATE) * (accountLimits.maxFlushTime + outage) / 1_000)
}
