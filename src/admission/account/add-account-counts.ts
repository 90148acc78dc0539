import type { AccountCounts } from './account-counts.js'
import { addTallies } from './add-tallies.js'
import { noCounts } from './no-counts.js'

/** Returns the sum of the counts of two rows; with `sign` -1 their difference. */
export function addAccountCounts (first: Partial<AccountCounts> = {}, second: Partial<AccountCounts> = {}, sign: 1 | -1 = 1): AccountCounts {
  const [a, b] = [{ ...noCounts, ...first }, { ...noCounts, ...second }]
  return {
    asked: a.asked + sign * b.asked,
    answered: a.answered + sign * b.answered,
    tokens: a.tokens + sign * b.tokens,
    waited: a.waited + sign * b.waited,
    got: a.got + sign * b.got,
    entitled: a.entitled + sign * b.entitled,
    refused: addTallies(a.refused, b.refused, sign),
    failed: addTallies(a.failed, b.failed, sign),
    jobs: addTallies(a.jobs, b.jobs, sign)
  }
}
