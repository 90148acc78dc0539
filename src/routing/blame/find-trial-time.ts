import type { PartEvidence } from './part-evidence.js'

/** How long after the last server that it cost items may try a refused part, and several requests at once a suspect one, ms. */
const TRY_AFTER = 10_000
const TRY_SUSPECT_AFTER = 5_000

/**
 * Finds from when on items may try a refused part, and from when on more requests may try a suspect one for each that passed, monotonic ms.
 * An accepted item is owed, and a refusal may be wrong where servers crashed for another reason; so the wait has the same bound however many
 * servers, or trials, were lost before.
 *
 * @example
 * findTrialTime({ refusedAt: 5_000, losses }) // 15_000, if its last loss was at 5_000 or earlier
 */
export function findTrialTime ({ refusedAt, losses }: Pick<PartEvidence, 'refusedAt' | 'losses'>): number {
  const lostAt = losses.at(-1)?.at ?? -Infinity
  return refusedAt === undefined ? lostAt + TRY_SUSPECT_AFTER : Math.max(refusedAt, lostAt) + TRY_AFTER
}
