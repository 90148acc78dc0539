import test from 'ava'
import fc from 'fast-check'
import { AdaptiveLimit } from '../../src/coordination/adaptive-limit.js'

const TARGET = 100

/** Returns the response time of a server that slows down beyond 16 requests in flight, which is about its right limit. */
function findTime (inFlight: number): number {
  return inFlight <= 16 ? 50 : 50 + (inFlight - 16) * 25
}

function runRounds (limits: readonly AdaptiveLimit[], rounds: number): void {
  for (let round = 0; round < rounds; round++) {
    const inFlight = limits.map(({ value }) => value)
    const ratio = findTime(inFlight.reduce((sum, n) => sum + n, 0)) / TARGET
    limits.forEach((limit, i) => { for (let n = 0; n < inFlight[i]!; n++) limit.record({ ratio, inFlight: inFlight[i]!, now: round * 250 }) })
  }
}

test('the limit converges to about where times meet their target', t => {
  const limit = new AdaptiveLimit({ highest: 64 })
  runRounds([limit], 200)
  t.true(limit.value >= 12 && limit.value <= 20, String(limit.value))
})

test('two clients that limit the same server, each by its own samples, converge to about equal limits', t => {
  const limits = [new AdaptiveLimit({ highest: 64, initial: 16 }), new AdaptiveLimit({ highest: 64, initial: 1 })]
  runRounds(limits, 400)
  t.true(Math.abs(limits[0]!.value - limits[1]!.value) <= 3, limits.map(({ value }) => value).join())
})

test('the limit stays within its bounds for any samples, and decreases at most once per pause', t => {
  const sample = fc.record({ ratio: fc.double(), inFlight: fc.nat(100), now: fc.nat(10_000) })
  t.notThrows(() => fc.assert(fc.property(fc.array(sample), samples => {
    const limit = new AdaptiveLimit({ lowest: 2, highest: 32 })
    for (const each of samples) limit.record(each)
    return limit.value >= 2 && limit.value <= 32
  }), { seed: 7, numRuns: 500 }))
  const limit = new AdaptiveLimit({ highest: 100, decrease: 0.5, pause: 200 })
  for (const now of [0, 50, 199]) limit.record({ ratio: 9, inFlight: 100, now })
  t.is(limit.value, 50)
})

test('a limit that is not in use does not grow', t => {
  const limit = new AdaptiveLimit({ highest: 64, initial: 10 })
  for (let i = 0; i < 100; i++) limit.record({ ratio: 0.1, inFlight: 1, now: i })
  t.is(limit.value, 10)
})
