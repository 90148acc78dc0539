import test from 'ava'
import { isAdoptionDue } from '../../src/jobs/is-adoption-due.js'

// Guards against a job that each daemon leaves to another one, and against daemons that all take a job over at once.
for (const [reason, position, due] of [
  ['lost', 0, 0],
  ['ended', 0, 0],
  ['lost', 1, 4_000],
  ['ended', 2, 8_000],
  ['lost', 3, 9_000],
  ['ended', 9, 15_000],
  ['lost', -1, Infinity],
  ['unknown', 0, 5_000],
  ['unknown', 1, 9_000],
  ['unknown', 3, 14_000],
  ['not held', 0, 2_000],
  ['not held', 4, 2_000],
  ['not held', -1, 2_000]
] as const) {
  test(`a job (${reason}) is taken over by the daemon behind ${position} others after ${due} ms`, t => {
    const ages = Array.from({ length: 200 }, (_, i) => i * 100)
    t.is(ages.find(age => isAdoptionDue(reason, { age, position })) ?? Infinity, due)
  })
}
