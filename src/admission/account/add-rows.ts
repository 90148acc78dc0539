import type { AccountCounts } from './account-counts.js'
import type { AccountRows } from './account-rows.js'
import { addAccountCounts } from './add-account-counts.js'

/** Returns the sums of two sets of rows; with `sign` -1 their differences. Rows without counts are left out. */
export function addRows (a: AccountRows, b: AccountRows, sign: 1 | -1 = 1): AccountRows {
  const sum: Record<string, AccountCounts> = { ...a }
  for (const [key, counts] of Object.entries(b)) {
    const next = addAccountCounts(sum[key], counts, sign)
    if (isEmpty(next)) delete sum[key]
    else sum[key] = next
  }
  return sum
}

function isEmpty (counts: AccountCounts): boolean {
  return Object.values(counts).every(value => typeof value === 'number' ? value === 0 : Object.keys(value).length === 0)
}
