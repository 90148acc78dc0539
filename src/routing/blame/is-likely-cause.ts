import { countMoments } from './count-moments.js'
import { hasEqualAges } from './has-equal-ages.js'
import type { PartLoss } from './part-loss.js'

/** Moments of losses from which a suspect part is likely to crash servers, and the time after the first of them in which a sound one would pass, ms. */
const LIKELY_MOMENTS = 3
const LIKELY_TIME = 1_000
/** Probability that a sound part was in flight at as many losses, up to which it is likely to crash servers: if it never passed, and if it did. */
const LIKELY_CHANCE = 0.05
const LIKELY_CHANCE_WITH_PASSES = 0.01

interface Weights { readonly passes: number, readonly chance: number, readonly othersPass: boolean }

/** Whether a suspect part with these losses is likely to crash servers. `weigh` is called only if the losses look like it. */
export function isLikelyCause (losses: readonly PartLoss[], now: number, weigh: () => Weights): boolean {
  if (countMoments(losses) < LIKELY_MOMENTS || now < losses[0]!.at + LIKELY_TIME || !hasEqualAges(losses)) return false
  const { passes, chance, othersPass } = weigh()
  return othersPass && chance <= (passes > 0 ? LIKELY_CHANCE_WITH_PASSES : LIKELY_CHANCE)
}
