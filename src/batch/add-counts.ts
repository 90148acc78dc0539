import type { Counts } from './counts.js'

/** Returns the sum of the counts. */
export function addCounts (all: readonly Counts[]): Counts {
  return all.reduce((sum, counts) => ({
    completed: sum.completed + counts.completed,
    failed: sum.failed + counts.failed,
    cancelled: sum.cancelled + counts.cancelled
  }), { completed: 0, failed: 0, cancelled: 0 })
}
