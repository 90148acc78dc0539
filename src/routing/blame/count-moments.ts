import type { PartLoss } from './part-loss.js'

/** Losses within this time of the one before are of one moment, ms. */
const MOMENT = 60

/** Counts the moments at which servers were lost: many that end together for another reason are one. */
export function countMoments (losses: readonly PartLoss[]): number {
  const times = losses.map(({ at }) => at).sort((a, b) => a - b)
  return times.filter((at, i) => i === 0 || at - times[i - 1]! > MOMENT).length
}
