import test from 'ava'
import { planBatch } from '../../src/placement/plan-batch.js'

interface Case { readonly name: string, readonly online: number, readonly batch: number, readonly stop: number, readonly start: number }

const cases: readonly Case[] = [
  { name: 'an idle server: every slot but the headroom', online: 0, batch: 0, stop: 0, start: 7 },
  { name: 'one slot stays free for the next arrival', online: 3, batch: 4, stop: 0, start: 0 },
  { name: 'a full server: nothing to stop', online: 4, batch: 4, stop: 0, start: 0 },
  { name: 'an arrival on a full server preempts one item', online: 5, batch: 4, stop: 1, start: 0 },
  { name: 'a burst stops no more items than there are', online: 12, batch: 3, stop: 3, start: 0 },
  { name: 'an excess larger than the number of items stops every item', online: 9, batch: 2, stop: 2, start: 0 }
]

for (const { name, online, batch, stop, start } of cases) {
  test(name, t => { t.deepEqual(planBatch({ slots: 8, online, batch }), { stop, start }) })
}
