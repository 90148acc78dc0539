import { countRuns } from './count-runs.js'
import { hasEqualAges } from './has-equal-ages.js'
import type { PartLoss } from './part-loss.js'

/** Losses from which equal ages of the lost runs go before their number. */
const MIN_EQUAL_LOSSES = 3
/** Runs in flight for each loss up to which a part may be what ends servers: one that did would leave few others beside it. */
const MAX_RUNS_PER_LOSS = 2

/** Whether a part with the losses `a` explains them better than one with `b`: its runs were lost after equal times, or it had more of them, or as many with fewer runs. */
export function isBetterCause (a: readonly PartLoss[], b: readonly PartLoss[]): boolean {
  if (countRuns(a) > MAX_RUNS_PER_LOSS * a.length) return false
  const [isEqual, isOtherEqual] = [a, b].map(losses => losses.length >= MIN_EQUAL_LOSSES && hasEqualAges(losses))
  if (isEqual !== isOtherEqual) return isEqual!
  return a.length > b.length || (a.length === b.length && countRuns(a) < countRuns(b))
}
