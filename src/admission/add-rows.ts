import type { AccountCounts } from './account-counts.js'
import type { AccountRows } from './account-rows.js'

/** The sums of two sets of rows; with `sign` -1 their difference, rows without any left out. */
export function addRows (a: AccountRows, b: AccountRows, sign: 1 | -1 = 1): AccountRows {
  const sum: Record<string, AccountCounts> = { ...a }
  for (const [key, counts] of Object.entries(b)) {
    const next = addCounts(sum[key], counts, sign)
    if (isEmpty(next)) delete sum[key]
    else sum[key] = next
  }
  return sum
}

function addCounts (a: AccountCounts | undefined, b: AccountCounts, sign: 1 | -1): AccountCounts {
  return {
    asked: (a?.asked ?? 0) + sign * b.asked,
    answered: (a?.answered ?? 0) + sign * b.answered,
    tokens: (a?.tokens ?? 0) + sign * b.tokens,
    waited: (a?.waited ?? 0) + sign * b.waited,
    refused: addCauses(a?.refused ?? {}, b.refused, sign),
    failed: addCauses(a?.failed ?? {}, b.failed, sign)
  }
}

function addCauses (a: Readonly<Record<string, number>>, b: Readonly<Record<string, number>>, sign: 1 | -1): Readonly<Record<string, number>> {
  const sum: Record<string, number> = { ...a }
  for (const [cause, count] of Object.entries(b)) {
    const next = (sum[cause] ?? 0) + sign * count
    if (next === 0) delete sum[cause]
    else sum[cause] = next
  }
  return sum
}

function isEmpty ({ asked, answered, tokens, waited, refused, failed }: AccountCounts): boolean {
  return asked === 0 && answered === 0 && tokens === 0 && waited === 0 && Object.keys(refused).length + Object.keys(failed).length === 0
}
