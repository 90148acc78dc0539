import type { AccountTimes } from './account-times.js'
import { addTallies } from './add-tallies.js'

/** Returns the sums of two sets of times; with `sign` -1 their differences. */
export function addTimes (a: AccountTimes, b: AccountTimes, sign: 1 | -1 = 1): AccountTimes {
  const sum: Record<string, Readonly<Record<string, number>>> = { ...a }
  for (const [key, tally] of Object.entries(b)) {
    const next = addTallies(sum[key] ?? {}, tally, sign)
    if (Object.keys(next).length === 0) delete sum[key]
    else sum[key] = next
  }
  return sum
}
