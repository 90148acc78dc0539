import test from 'ava'
import { CallBudget } from '../../src/store/call-budget.js'
import { planRestartRate } from '../../src/store/plan-restart-rate.js'

const cases: ReadonlyArray<readonly [string, { readonly fleetRate: number | undefined, readonly daemons: number }, number]> = [
  ['a small fleet', { fleetRate: 400, daemons: 5 }, 20],
  ['one daemon', { fleetRate: 400, daemons: 0 }, 100],
  ['a fleet of hundreds', { fleetRate: 1_200, daemons: 380 }, 2],
  ['the platform\'s rate is not known', { fleetRate: undefined, daemons: 6 }, 2]
]

for (const [name, options, rate] of cases) {
  test(`after an outage: ${name}`, t => { t.is(planRestartRate({ minRate: 2, ...options }), rate) })
}

// The store is back after an outage. Each of six daemons has results to store, and a caller's job of two writes, which waits for
// 300 ms at most; the platform serves 400 writes a second.
test('a job that arrives right after an outage is stored', t => {
  const countWrites = (restartRate: number): number => {
    const budget = new CallBudget({ rate: 60 })
    budget.onRestart(0, restartRate)
    let written = 0
    for (let now = 0; now <= 300; now += 5) if (budget.take('caller', now) === 0) written++
    return written
  }
  t.true(countWrites(planRestartRate({ minRate: 2, fleetRate: 400, daemons: 6 })) >= 4)
  t.true(countWrites(planRestartRate({ minRate: 2, fleetRate: undefined, daemons: 6 })) < 2)
})
