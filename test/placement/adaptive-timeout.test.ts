import test from 'ava'
import { AdaptiveTimeout } from '../../src/placement/adaptive-timeout.js'

const cases: ReadonlyArray<readonly [string, readonly number[], number]> = [
  ['nothing is known', [], 100],
  ['answers in some ms', Array.from({ length: 100 }, () => 8), 100],
  ['daemons short of processor time', Array.from({ length: 100 }, () => 60), 300],
  ['no longer than callers can wait for another', Array.from({ length: 100 }, () => 400), 500],
  ['one late answer among many', [...Array.from({ length: 100 }, () => 8), 90], 100]
]

for (const [name, delays, timeout] of cases) {
  test(`a peer counts as silent: ${name}`, t => {
    const usual = new AdaptiveTimeout({ least: 100, most: 500 })
    for (const delay of delays) usual.record(delay)
    t.is(Math.round(usual.timeout), timeout)
  })
}
