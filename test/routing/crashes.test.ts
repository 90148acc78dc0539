import 'reflect-metadata'
import test from 'ava'
import fc from 'fast-check'
import { simulateCrashes } from '../helpers/simulate-crashes.js'

/** Seeds that found a fault: a lost frame, a trial at a lost server, a loss counted twice. */
const KEPT = [5, 13, 22, 74, 123]
const TROUBLES = { lost: 0.03, busy: 3_000, disagree: true }

// Copies of a crashing request arrive through several daemons, while frames are lost, daemons are busy or disagree about the
// members. Guards against a third lost engine, and against the quarantine of other requests.
for (const [name, troubles] of Object.entries({ none: {}, lost: { lost: 0.03 }, busy: { busy: 3_000 }, disagree: { disagree: true }, all: TROUBLES })) {
  test(`at most two engines are lost, and no other request is refused: ${name}`, async t => {
    for (const seed of KEPT) {
      const { ended, refused } = await simulateCrashes({ seed, ...troubles })
      t.true(ended <= 2, String(seed))
      t.deepEqual(refused, [], String(seed))
    }
    await t.notThrowsAsync(fc.assert(fc.asyncProperty(fc.nat(), async seed => {
      const { ended, refused, slowest } = await simulateCrashes({ seed, ...troubles })
      return ended <= 2 && refused.length === 0 && slowest < 20_000
    }), { seed: 7, numRuns: 40 }))
  })
}

// Guards against a request that is cleared by each complete answer and crashes one engine after the other.
test('a request that crashes only sometimes is quarantined after at most four engines', async t => {
  for (const seed of [1, 2, 3, 4, 5, 6]) {
    const { ended, refused } = await simulateCrashes({ seed, engines: 8, crashes: 0.25, later: Array.from({ length: 60 }, (_, i) => 1_000 + i * 500) })
    t.true(ended <= 4, String(seed))
    t.deepEqual(refused, [], String(seed))
  }
})
