import { findTrials } from './find-trials.js'
import type { PartEvidence } from './part-evidence.js'

/**
 * Finds how many trials of a part may run now in the whole fleet; undefined for a suspect one until several may.
 *
 * @example
 * findTrialLimit({ refusedAt: 5_000, refusedUntil: 125_000, losses: [] }, 16_000) // 1
 */
export function findTrialLimit (known: Pick<PartEvidence, 'refusedAt' | 'refusedUntil' | 'losses' | 'trialsPassed'>, now: number): number | undefined {
  const { from, limit } = findTrials(known)
  if (now >= from) return limit
  return now < (known.refusedUntil ?? -Infinity) ? 0 : undefined
}
