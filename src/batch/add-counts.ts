import type { Counts } from './counts.js'

/** The sum over chunks. */
export function addCounts (all: readonly Counts[]): Counts {
  return all.reduce((sum, counts) => ({
    completed: sum.completed + counts.completed,
    failed: sum.failed + counts.failed,
    cancelled: sum.cancelled + counts.cancelled
  }), { completed: 0, failed: 0, cancelled: 0 })
}
