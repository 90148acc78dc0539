import test from 'ava'
import { planRemoval } from '../../src/fleet/plan-removal.js'

// Guards against healthy servers that are dropped because their entries expired in an outage of the store, and against servers
// that are gone but held for longer than two seconds after its recovery.
const cases: ReadonlyArray<readonly [string, number, Parameters<typeof planRemoval>[1], number | undefined]> = [
  ['the store was available all along', 10_000, { isUnavailable: false, recoveredAt: -Infinity }, undefined],
  ['the store is unavailable', 10_000, { isUnavailable: true, recoveredAt: -Infinity }, 12_200],
  ['just recovered', 10_000, { isUnavailable: false, recoveredAt: 9_900 }, 12_100],
  ['recovered nearly two seconds ago: held for the rest of that time', 10_000, { isUnavailable: false, recoveredAt: 7_900 }, 10_100],
  ['recovered longer ago', 10_000, { isUnavailable: false, recoveredAt: 7_700 }, undefined]
]

for (const [name, now, reach, until] of cases) {
  test(name, t => { t.is(planRemoval(now, reach), until) })
}
