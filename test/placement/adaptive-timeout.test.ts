import test from 'ava'
import { AdaptiveTimeout } from '../../src/placement/adaptive-timeout.js'

const cases: ReadonlyArray<readonly [string, readonly number[], number]> = [
  ['no samples', [], 100],
  ['fast responses', Array.from({ length: 100 }, () => 8), 100],
  ['daemons short of processor time', Array.from({ length: 100 }, () => 60), 300],
  ['no longer than the upper bound', Array.from({ length: 100 }, () => 400), 500],
  ['one slow response among many', [...Array.from({ length: 100 }, () => 8), 90], 100]
]

test('timeout: a late response extends it at once, fast ones shorten it again', t => {
  const usual = new AdaptiveTimeout({ least: 100, most: 500 })
  usual.recordLate(160)
  t.is(Math.round(usual.timeout), 320)
  for (let n = 0; n < 50; n++) usual.record(8)
  t.is(usual.timeout, 100)
})

for (const [name, delays, timeout] of cases) {
  test(`timeout: ${name}`, t => {
    const usual = new AdaptiveTimeout({ least: 100, most: 500 })
    for (const delay of delays) usual.record(delay)
    t.is(Math.round(usual.timeout), timeout)
  })
}
