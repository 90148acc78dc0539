import test from 'ava'
import type { LoadPlan } from '../../src/load/load-plan.js'
import { planArrivals } from '../../src/load/plan-arrivals.js'

const PLAN: LoadPlan = {
  seed: 3,
  duration: 80_000,
  rate: 20,
  burst: { every: 8_000, length: 2_000, rate: 100 },
  model: 'm',
  streamed: 0.5,
  tokens: [2, 9],
  promptWords: [1, 4],
  callers: ['a', 'b']
}

test('the same plan gives the same arrivals, another seed gives others', t => {
  t.deepEqual(planArrivals(PLAN), planArrivals(PLAN))
  t.notDeepEqual(planArrivals(PLAN), planArrivals({ ...PLAN, seed: 4 }))
})

test('rates in and out of bursts, tokens and callers are as planned', t => {
  const arrivals = planArrivals(PLAN)
  const inBurst = arrivals.filter(({ at }) => at % 8_000 >= 6_000)
  t.true(Math.abs(inBurst.length / 20 - 100) < 15, `${inBurst.length / 20} a second in bursts`)
  t.true(Math.abs((arrivals.length - inBurst.length) / 60 - 20) < 4)
  t.true(arrivals.every(({ tokens, at }) => tokens >= 2 && tokens <= 9 && at < 80_000))
  t.deepEqual(new Set(arrivals.map(({ caller }) => caller)), new Set(['a', 'b']))
  t.is(new Set(arrivals.map(({ id }) => id)).size, arrivals.length)
})
