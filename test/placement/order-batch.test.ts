import test from 'ava'
import { Random } from '../../src/kernel/random.js'
import { orderBatch } from '../../src/placement/order-batch.js'

interface Case { readonly name: string, readonly items: ReadonlyArray<{ readonly id: string, readonly due: number, readonly remaining: number }>, readonly order: string }

const cases: readonly Case[] = [
  { name: 'the earliest due time first', items: [{ id: 'b', due: 9_000, remaining: 10 }, { id: 'a', due: 8_000, remaining: 500 }], order: 'a b' },
  { name: 'equal due times: the least remaining work first', items: [{ id: 'b', due: 9_000, remaining: 500 }, { id: 'a', due: 9_000, remaining: 10 }], order: 'a b' },
  { name: 'late items last', items: [{ id: 'b', due: 2_000, remaining: 1_500 }, { id: 'a', due: 9_000, remaining: 500 }], order: 'a b' },
  { name: 'late items: the least remaining work first', items: [{ id: 'b', due: 500, remaining: 900 }, { id: 'a', due: 700, remaining: 100 }], order: 'a b' }
]

for (const { name, items, order } of cases) {
  test(name, t => { t.is(orderBatch(items, 1_000).map(({ id }) => id).join(' '), order) })
}

interface Item { readonly due: number, readonly work: number, done: number, endedAt?: number }

const STEP = 100
/** Slots left by low and high online load, and the duration of each phase, ms. */
const WAVE = { trough: 46, crest: 4, troughFor: 3_000, crestFor: 2_200 }
const JOBS_PER_S = 0.48
const ITEMS = 10
const DUE_AFTER = 18_000
const KILL_AT = 34_000

type Order = (items: readonly Item[], now: number) => readonly Item[]

/** Counts the items that finish in time, of those due before the end. Running items lose their progress when all daemons are killed. */
function simulate (order: Order, seed: number): { readonly inTime: number, readonly of: number } {
  const random = new Random(seed)
  const items: Item[] = []
  for (let now = 0; now < 60_000; now += STEP) {
    if (now < 50_000 && random.below(10_000) < JOBS_PER_S * STEP * 10) {
      for (let n = 0; n < ITEMS; n++) items.push({ due: now + DUE_AFTER, work: 4_000 + random.below(2_600), done: 0 })
    }
    const phase = now % (WAVE.troughFor + WAVE.crestFor)
    const slots = now > KILL_AT && now < KILL_AT + 1_500 ? 0 : phase < WAVE.troughFor ? WAVE.trough : WAVE.crest
    if (now === KILL_AT) {
      for (const item of items.filter(({ endedAt }) => endedAt === undefined)) item.done = 0
    }
    for (const item of order(items.filter(({ endedAt }) => endedAt === undefined), now).slice(0, slots)) {
      item.done += STEP
      if (item.done >= item.work) item.endedAt = now
    }
  }
  const due = items.filter(({ due }) => due < 55_000)
  return { inTime: due.filter(({ due, endedAt }) => endedAt !== undefined && endedAt <= due).length, of: due.length }
}

const byRemaining: Order = (items, now) => orderBatch(items.map(item => ({ item, due: item.due, remaining: Math.max(STEP, 5_300 - item.done) })), now).map(({ item }) => item)
const byDue: Order = items => [...items].sort((a, b) => a.due - b.due)

// Guards against slots spent on items that are late in any case: online load alternates, and halfway all daemons restart.
test('under alternating load and a restart of all daemons, more items are in time than by due time alone', t => {
  const sum = (order: Order): { inTime: number, of: number } => Array.from({ length: 20 }, (_, seed) => simulate(order, seed))
    .reduce((total, { inTime, of }) => ({ inTime: total.inTime + inTime, of: total.of + of }), { inTime: 0, of: 0 })
  const [before, after] = [sum(byDue), sum(byRemaining)]
  t.log({ before, after })
  t.true(after.inTime > before.inTime)
})
