import test from 'ava'
import { findSearchTurn } from '../../src/jobs/find-search-turn.js'

/** Counts the turns in a minute. */
function countTurns (sinceChange: number): number {
  return new Set(Array.from({ length: 120 }, (_, i) => findSearchTurn({ date: 1_000_000_000_000 + i * 500, sinceChange }))).size
}

// Guards against a fleet that never looks for jobs of a process that has ended, and against one that lists all jobs often on a quiet day.
test('the store is searched often after a process began or ended, and three times a minute otherwise', t => {
  t.is(countTurns(0), 15)
  t.is(countTurns(29_999), 15)
  t.is(countTurns(30_000), 3)
})
