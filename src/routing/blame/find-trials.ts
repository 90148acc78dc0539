import { findTrialTime } from './find-trial-time.js'
import type { PartEvidence } from './part-evidence.js'

/** By how many more trials of a part may run at a time for each one that passed. */
const MORE_TRIALS = 2

/**
 * Finds from when on several trials of a part may run at a time, monotonic ms, and how many in the whole fleet. Only items try a refused part.
 *
 * @example
 * findTrials({ refusedAt: 5_000, losses: [], trialsPassed: 1 }) // { from: 15_000, limit: 3 }
 */
export function findTrials (known: Pick<PartEvidence, 'refusedAt' | 'losses' | 'trialsPassed'>): { readonly from: number, readonly limit: number } {
  return { from: findTrialTime(known), limit: 1 + MORE_TRIALS * (known.trialsPassed ?? 0) }
}
