import test from 'ava'
import { simulatePoolQueue, type CallerOutcome } from '../helpers/simulate-pool-queue.js'

/** 16 slots of 200 ms: 80 requests a second. */
const SERVERS = { capacity: 16, holdTime: 200, duration: 60_000 }
const CAPACITY = 80
const SEEDS = [1, 2, 3]
const MANY_SEEDS = [1, 2, 3, 4, 5, 6]

function readQuantile (values: readonly number[], share: number): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length * share)] ?? 0
}

function sumAnswered (got: Readonly<Record<string, CallerOutcome>>): number {
  return Object.values(got).reduce((sum, { answered }) => sum + answered, 0)
}

test('under overload each caller holds slots in proportion to its share, within 5 %', t => {
  for (const seed of SEEDS) {
    const got = simulatePoolQueue({ ...SERVERS, seed, callers: [{ name: 'a', share: 1, rate: 80 }, { name: 'b', share: 1, rate: 200 }, { name: 'c', share: 2, rate: 160 }] })
    const all = Object.values(got).reduce((sum, { held }) => sum + held, 0)
    for (const [name, share] of [['a', 0.25], ['b', 0.25], ['c', 0.5]] as const) t.true(Math.abs(got[name]!.held / all / share - 1) < 0.05, `${seed} ${name}`)
  }
})

// One caller sends ten times its share while two others stay within theirs. In order of arrival the others would wait behind
// it, and most of them would be refused; by shares they wait for the next free slot or two.
test('a caller that sends ten times its share does not delay the others', t => {
  const callers = ['a', 'b'].map(name => ({ name, share: 1, rate: 20 }))
  const [fair, heavy] = [CAPACITY / 3, 10 * CAPACITY / 3].map(rate => MANY_SEEDS.flatMap(seed => {
    const { a, b } = simulatePoolQueue({ ...SERVERS, seed, callers: [...callers, { name: 'heavy', share: 1, rate }] })
    t.is(a!.refused + b!.refused, 0)
    return [...a!.waits, ...b!.waits]
  }))
  for (const share of [0.99, 0.999]) t.true(readQuantile(heavy!, share) <= 1.2 * readQuantile(fair!, share), String(share))
  t.true(readQuantile(heavy!, 0.95) < SERVERS.holdTime / 2)
})

test('an idle share is lent out', t => {
  const got = simulatePoolQueue({ ...SERVERS, callers: [{ name: 'a', share: 1, rate: 160 }, { name: 'idle', share: 9, rate: 0.001 }] })
  t.true(got.a!.answered > 0.95 * CAPACITY * 60)
})

test('at twice the capacity goodput does not fall and refusals are immediate', t => {
  const run = (factor: number): CallerOutcome => simulatePoolQueue({ ...SERVERS, callers: [{ name: 'a', share: 1, rate: CAPACITY * factor }] }).a!
  const peak = Math.max(...[0.9, 1, 1.1, 1.5].map(factor => run(factor).answered))
  for (const factor of [2, 4]) {
    const { answered, refusedAfter, waits } = run(factor)
    t.true(answered >= 0.95 * peak)
    t.is(readQuantile(refusedAfter, 0.5), 0)
    t.true(Math.max(...waits) <= 500)
  }
})

test('every request is admitted or refused, unless it waits at the end', t => {
  for (const seed of SEEDS) {
    const got = simulatePoolQueue({ ...SERVERS, seed, callers: [{ name: 'a', share: 1, rate: 100 }, { name: 'b', share: 3, rate: 100 }] })
    for (const { asked, waits, refused } of Object.values(got)) t.true(asked - waits.length - refused >= 0 && asked - waits.length - refused <= 60)
    t.true(sumAnswered(got) > 0)
  }
})
