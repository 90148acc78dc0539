import 'reflect-metadata'
import test from 'ava'
import { simulatePartCrashes, type PartTraffic } from '../helpers/simulate-part-crashes.js'

/** Servers that a part may cost until it is refused, which also bounds what one trial that passed may lead to, and the span, ms, in which these are counted. */
const MOST_LOST = 5
const SPAN = 1_000
/** From when on the part is refused and no item may have tried it, ms. */
const FROM = 12_000

const traffic: readonly PartTraffic[] = [
  { parts: random => ['common', `topic${random.below(6)}`], rate: 8, time: 800 },
  { parts: () => ['menu', 'bad'], rate: 4, time: 800, from: 3_000, isItem: true, attempts: 3 }
]

for (const chance of [0.5, 0.75]) {
  // Guards against items that crash most servers at once by a part that crashes them only sometimes, because one trial of it has passed.
  test(`a trial that passes lets no part cost more than five servers at once that crashes servers with a probability of ${chance}`, async t => {
    const most: number[] = []
    for (const seed of [1, 2, 3]) {
      const { crashed } = await simulatePartCrashes({ seed, engines: 12, duration: 30_000, traffic, crashes: parts => parts.includes('bad') ? chance : 0 })
      const late = crashed.filter(at => at > FROM)
      most.push(Math.max(...late.map(from => late.filter(at => at >= from && at < from + SPAN).length), 0))
    }
    t.true(Math.max(...most) <= MOST_LOST, most.join())
  })
}
