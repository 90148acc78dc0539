import type { PartEvidence } from './part-evidence.js'

/** How long after the last server that it cost items may try a refused part, ms, and the longest such wait where trials were lost with their servers. */
const TRY_AFTER = 10_000
const LONGEST_WAIT = 20_000

/**
 * Finds from when on items may try a refused part, monotonic ms. An accepted item is owed, and a refusal may be wrong where servers crashed
 * for another reason, so that the wait is bounded; it is longer after a trial that was lost with its server.
 *
 * @example
 * findTrialTime({ refusedAt: 5_000, losses }) // 15_000, if its last loss was at 5_000 or earlier
 */
export function findTrialTime ({ refusedAt = Infinity, losses }: Pick<PartEvidence, 'refusedAt' | 'losses'>): number {
  const lostTrials = losses.filter(({ began }, i) => i > 0 && began >= losses[i - 1]!.at + TRY_AFTER).length
  return Math.max(refusedAt, losses.at(-1)?.at ?? -Infinity) + Math.min(LONGEST_WAIT, TRY_AFTER * 2 ** lostTrials)
}
