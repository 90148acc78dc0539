import { accountLimits } from './account-limits.js'
import type { AccountPart } from './account-part.js'

/** Least rate to reckon with, online requests a second: a run that was just started has seen none. */
const LEAST_RATE = 25

/**
 * How many online requests a part that isn't closed may lack, at most: as many as it had said to set off its next flush, and what comes at
 * the highest rate seen, twice over, while that flush is under way; in an outage of the platform, of which `gap` ms is
 * the longest one known, what comes in that time.
 */
export function estimateMissing ({ highestRate, period, lead }: Pick<AccountPart, 'highestRate' | 'period' | 'lead'>, gap: number): number {
  const outage = Math.max(0, gap - period)
  return Math.ceil(lead + 2 * Math.max(highestRate, LEAST_RATE) * (accountLimits.flushTime + outage) / 1_000)
}
