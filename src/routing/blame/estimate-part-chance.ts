import { countMoments } from './count-moments.js'
import { countRuns } from './count-runs.js'
import { estimateChance } from './estimate-chance.js'
import { estimateShare } from './estimate-share.js'
import { hasEqualAges } from './has-equal-ages.js'
import type { PartLoss } from './part-loss.js'

interface PartAmounts {
  readonly losses: readonly PartLoss[]
  /** Losses of servers with or without the part, each as one entry for all requests. */
  readonly allLosses: readonly PartLoss[]
  /** Runs that passed, and the time for which runs were in flight, ms: with the part, and of all requests. */
  readonly passes: { readonly own: number, readonly all: number }
  readonly time: { readonly own: number, readonly all: number }
}

/**
 * Estimates how probable it is that a sound part was in flight at as many losses of servers. Long runs are in flight more often than their
 * number tells, but that doesn't make it more probable that they are lost after equal times.
 */
export function estimatePartChance ({ losses, allLosses, passes, time }: PartAmounts): number {
  const isEqual = hasEqualAges(losses)
  const count = isEqual ? (all: readonly PartLoss[]) => all.length : countMoments
  const runs = { own: countRuns(losses) + passes.own, all: countRuns(allLosses) + passes.all }
  const share = isEqual ? estimateShare(runs) : estimateShare(runs, time)
  return estimateChance({ moments: Math.max(count(allLosses), count(losses)), own: count(losses), share, lostRuns: countRuns(allLosses) })
}
