import test from 'ava'
import fc from 'fast-check'
import { DemandMeter } from '../../src/admission/demand-meter.js'
import { splitPool } from '../../src/admission/split-pool.js'
import { simulateGates, type SpreadCaller } from '../helpers/simulate-gates.js'

/** 48 places of 200 ms before 6 daemons: 240 requests a second. */
const FLEET = { daemons: 6, places: 48, hold: 200, duration: 20_000, tellEvery: 600 }
const SEEDS = [1, 2, 3]

const all = (rate: number): number[] => new Array<number>(FLEET.daemons).fill(rate / FLEET.daemons)
const through = (daemon: number, rate: number): number[] => Array.from({ length: FLEET.daemons }, (_, i) => i === daemon ? rate : 0)

// Callers ask for more than there is, some through every daemon and some through one or two. By even parts of the
// places, each daemon being fair to its own, one of them got 0.10 in place of 0.25.
const BUSY: Readonly<Record<string, readonly SpreadCaller[]>> = {
  'all through all daemons': [1, 1, 2].map((share, i) => ({ name: String(i), share, rates: all(200) })),
  'each through one': [1, 1, 2].map((share, i) => ({ name: String(i), share, rates: through(i, 200) })),
  'one through all, the others not': [{ name: '0', share: 1, rates: all(200) }, { name: '1', share: 1, rates: through(0, 200) }, { name: '2', share: 2, rates: [0, 200, 200, 0, 0, 0] }]
}
for (const [name, callers] of Object.entries(BUSY)) {
  test(`while all are busy shares hold over daemons, within 5 %: ${name}`, t => {
    for (const seed of SEEDS) {
      const got = simulateGates({ ...FLEET, seed, callers })
      const sum = Object.values(got).reduce((sum, { held }) => sum + held, 0)
      for (const caller of callers) t.true(Math.abs(got[caller.name]!.held / sum / (caller.share / 4) - 1) < 0.05, `${seed} ${caller.name} ${got[caller.name]!.held / sum}`)
    }
  })
}

// One caller sends ten times its share, through all daemons or one; the others stay within theirs, and go through one
// each or all. By even parts two of three of their requests were refused.
const HEAVY: Readonly<Record<string, readonly [number[], (i: number) => number[]]>> = {
  'it through all, others through one': [all(800), i => through(i, 60)],
  'it through one, others through all': [through(0, 800), () => all(60)],
  'all through the same': [through(0, 800), () => through(0, 60)]
}
for (const [name, [rates, others]] of Object.entries(HEAVY)) {
  test(`a caller that sends ten times its share gets nobody else refused: ${name}`, t => {
    for (const seed of SEEDS) {
      const { a, b } = simulateGates({ ...FLEET, seed, callers: [{ name: 'heavy', share: 1, rates }, ...['a', 'b'].map((name, i) => ({ name, share: 1, rates: others(i) }))] })
      t.true(a!.refused + b!.refused <= 0.01 * (a!.asked + b!.asked), `${seed} ${a!.refused} ${b!.refused}`)
    }
  })
}

// It comes through one daemon and fills it; the others' requests come in clumps, and at each of their daemons find the
// places lent away. Held to their shares for the moment of a clump they waited 70 ms at the 90th percentile and 225 at the 99th.
test('a caller that sends ten times its share through one daemon hardly moves those who use all', t => {
  const waits = SEEDS.flatMap(seed => {
    const { a, b } = simulateGates({ ...FLEET, seed, callers: [{ name: 'heavy', share: 1, rates: through(0, 800) }, ...['a', 'b'].map(name => ({ name, share: 1, rates: all(60) }))] })
    return [...a!.waits, ...b!.waits]
  }).sort((x, y) => x - y)
  const [p90, p99] = [0.9, 0.99].map(share => waits[Math.floor(waits.length * share)]!)
  t.true(p90! < 40 && p99! < 150, `${p90} ${p99}`)
})

test('an idle share is lent over daemons', t => {
  const { a } = simulateGates({ ...FLEET, callers: [{ name: 'a', share: 1, rates: through(0, 400) }, { name: 'idle', share: 9, rates: through(1, 0.001) }] })
  t.true(a!.held / (0.9 * FLEET.duration * FLEET.places) > 0.95)
})

// Hundreds of callers ask a little each through one daemon, more than it tells of by name, beside one that asks for ten
// times the pool through two others. Were the unnamed left out, their daemon's part would be next to nothing.
test('callers too many to name keep their places', t => {
  const meter = new DemandMeter()
  for (let period = 0; period < 20; period++) {
    for (let i = 0; i < 200; i++) meter.count(`small ${i}`, 1)
    meter.read(500, 20)
  }
  const many = meter.read(500, 20)
  const heavy = new Map([['heavy', { share: 1, slots: 200 }]])
  t.is(many.size, 17)
  const part = splitPool(new Map([['a', many], ['b', heavy], ['c', heavy]]), 40).get('a')!
  t.true(part.fraction * 40 >= [...many.values()].reduce((sum, { slots }) => sum + slots, 0), String(part.fraction))
})

const demand = fc.dictionary(fc.constantFrom('a', 'b', 'c', ''), fc.record({ share: fc.constant(1), slots: fc.double({ min: 0, max: 100, noNaN: true }) }))
test('parts add up to the whole pool, whatever is asked', t => {
  t.notThrows(() => fc.assert(fc.property(fc.array(demand, { minLength: 1, maxLength: 6 }), fc.integer({ min: 1, max: 200 }), (demands, capacity) => {
    const parts = splitPool(new Map(demands.map((each, i) => [String(i), new Map(Object.entries(each))])), capacity)
    const sum = [...parts.values()].reduce((sum, { fraction }) => sum + fraction, 0)
    return Math.abs(sum - 1) < 1e-6 && [...parts.values()].every(({ fraction }) => fraction >= 0)
  }), { seed: 7, numRuns: 300 }))
})
