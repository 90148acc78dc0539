import type { PolicyResult } from './policy-result.js'

const ROWS = ['given', 'lateStart', 'refill', 'replacing', 'headroom', 'steps'] as const
const PERCENT = 100

/** Formats the breakdown of the engines' idle capacity, in % of the tokens that full batches would have generated. */
export function showIdleAccount ({ idleAccounts, seconds, missedStarts }: Pick<PolicyResult, 'idleAccounts' | 'seconds' | 'missedStarts'>): string {
  const add = (pick: keyof PolicyResult['idleAccounts'][number]): number => idleAccounts.reduce((sum, account) => sum + account[pick], 0)
  const possible = add('possible')
  const shares = ROWS.map(row => `${row} ${(PERCENT * add(row) / possible).toFixed(1)} %`)
  return `of ${(possible / seconds).toFixed(0)} tokens/s in idle time: ${shares.join(', ')}; beside online ${(add('beside') / seconds).toFixed(0)} tokens/s; starts missed ${JSON.stringify(missedStarts)}`
}
