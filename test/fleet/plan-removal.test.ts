import test from 'ava'
import { planRemoval } from '../../src/fleet/plan-removal.js'

// A server's entry goes from the store. While the store was away, entries of servers that are well have lapsed and are back
// within two seconds of its return: dropping them leaves callers with no server. A server that has really gone is sent
// requests for as long as it is held, which must end two seconds after the store's return and not after the news.
const cases: ReadonlyArray<readonly [string, number, Parameters<typeof planRemoval>[1], number | undefined]> = [
  ['the store was there all the time', 10_000, { isUnavailable: false, recoveredAt: -Infinity }, undefined],
  ['the store is away', 10_000, { isUnavailable: true, recoveredAt: -Infinity }, 12_200],
  ['just back', 10_000, { isUnavailable: false, recoveredAt: 9_900 }, 12_100],
  ['back for nearly two seconds: held for the rest only', 10_000, { isUnavailable: false, recoveredAt: 7_900 }, 10_100],
  ['back for longer', 10_000, { isUnavailable: false, recoveredAt: 7_700 }, undefined]
]

for (const [name, now, reach, until] of cases) {
  test(name, t => { t.is(planRemoval(now, reach), until) })
}
