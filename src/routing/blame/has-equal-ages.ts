import { countRuns } from './count-runs.js'
import { hasSimilarAges } from './has-similar-ages.js'
import type { PartLoss } from './part-loss.js'

/** Runs with the part for each loss, on average, up to which they may be told apart by their ages. */
const MAX_RUNS_PER_LOSS = 1.5

/** Whether each server was lost under few runs with the part and after the same time, which servers that end by themselves hardly are. */
export function hasEqualAges (losses: readonly PartLoss[]): boolean {
  return countRuns(losses) <= MAX_RUNS_PER_LOSS * losses.length && hasSimilarAges(losses, 'equal')
}
