import test from 'ava'
import { BurstLimit } from '../../src/kernel/burst-limit.js'

const cases: ReadonlyArray<readonly [string, number, number, boolean]> = [
  ['a burst below the limit', 9, 0, false],
  ['a burst of the limit', 10, 0, true],
  ['a burst just within the period', 10, 9.9, true],
  ['as many over the whole period', 10, 12, false],
  ['ten times as many at an allowed rate', 100, 12, false],
  ['ten times as many at once', 100, 0, true]
]

for (const [name, times, interval, isPassed] of cases) {
  // Guards against an endless answer that is read on, and against a long answer at an allowed rate that is broken off.
  test(`${name}: ${isPassed ? 'too fast' : 'allowed'}`, t => {
    let now = 0
    const limit = new BurstLimit({ count: 10, period: 100, now: () => now })
    const results = Array.from({ length: times }, () => {
      now += interval
      return limit.isPassed()
    })
    t.is(results.includes(true), isPassed)
  })
}
