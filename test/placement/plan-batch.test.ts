import test from 'ava'
import { planBatch } from '../../src/placement/plan-batch.js'

interface Case { readonly name: string, readonly online: number, readonly batch: number, readonly own: number, readonly before?: number, readonly stop: number, readonly start: number }

const cases: readonly Case[] = [
  { name: 'an idle server: all but the headroom', online: 0, batch: 0, own: 0, stop: 0, start: 7 },
  { name: 'one slot stays free for the next arrival', online: 3, batch: 4, own: 4, stop: 0, start: 0 },
  { name: 'full is not too full', online: 4, batch: 4, own: 4, stop: 0, start: 0 },
  { name: 'an arrival on a full server: one item gives way', online: 5, batch: 4, own: 4, stop: 1, start: 0 },
  { name: 'a burst: no more than there are', online: 12, batch: 3, own: 3, stop: 3, start: 0 },
  { name: 'a daemon before this one stops its item', online: 5, batch: 4, own: 2, before: 2, stop: 0, start: 0 },
  { name: 'its two are not enough', online: 7, batch: 4, own: 2, before: 2, stop: 1, start: 0 }
]

for (const { name, online, batch, own, before = 0, stop, start } of cases) {
  test(name, t => { t.deepEqual(planBatch({ server: 's', failureDomain: 'a', slots: 8, online, batch, ownBatch: own }, before), { stop, start }) })
}
