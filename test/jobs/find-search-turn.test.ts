import test from 'ava'
import { findSearchTurn } from '../../src/jobs/find-search-turn.js'

/** Counts the turns in a minute. */
function countTurns (options: { readonly sinceChange: number, readonly hasOpenJobs: boolean }): number {
  const turns = Array.from({ length: 120 }, (_, i) => findSearchTurn({ date: 1_000_000_000_000 + i * 500, ...options }))
  return new Set(turns.filter(turn => turn !== undefined)).size
}

// Guards against a fleet that never looks for jobs of a process that has ended, and against one that lists all jobs on a quiet day.
test('the store is searched often after a process began or ended, seldom while jobs are open, and not otherwise', t => {
  t.is(countTurns({ sinceChange: 0, hasOpenJobs: false }), 15)
  t.is(countTurns({ sinceChange: 29_999, hasOpenJobs: true }), 15)
  t.is(countTurns({ sinceChange: 30_000, hasOpenJobs: true }), 3)
  t.is(countTurns({ sinceChange: 30_000, hasOpenJobs: false }), 0)
})
