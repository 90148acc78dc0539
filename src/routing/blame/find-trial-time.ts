import type { PartEvidence } from './part-evidence.js'

/** How long after the last server that it cost items may try a refused part, ms. */
const TRY_AFTER = 10_000

/**
 * Finds from when on items may try a refused part, monotonic ms. An accepted item is owed, and a refusal may be wrong where servers crashed
 * for another reason; so the wait has the same bound however many servers, or trials, were lost before.
 *
 * @example
 * findTrialTime({ refusedAt: 5_000, losses }) // 15_000, if its last loss was at 5_000 or earlier
 */
export function findTrialTime ({ refusedAt = Infinity, losses }: Pick<PartEvidence, 'refusedAt' | 'losses'>): number {
  return Math.max(refusedAt, losses.at(-1)?.at ?? -Infinity) + TRY_AFTER
}
