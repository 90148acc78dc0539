import type { PartLoss } from './part-loss.js'

/** Returns the number of runs with a part that were lost with their servers. */
export function countRuns (losses: readonly PartLoss[]): number {
  return losses.reduce((sum, { runs }) => sum + [...runs.values()].reduce((all, count) => all + count, 0), 0)
}
