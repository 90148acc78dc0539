import test from 'ava'
import { countExcessBatch } from '../../src/placement/count-excess-batch.js'
import { planBatch } from '../../src/placement/plan-batch.js'

interface StopCase { readonly name: string, readonly online: number, readonly batch: number, readonly stop: number }

const stopCases: readonly StopCase[] = [
  { name: 'an idle server: nothing to stop', online: 0, batch: 0, stop: 0 },
  { name: 'a server with a free slot: nothing to stop', online: 3, batch: 4, stop: 0 },
  { name: 'a full server: nothing to stop', online: 4, batch: 4, stop: 0 },
  { name: 'an arrival on a full server preempts one item', online: 5, batch: 4, stop: 1 },
  { name: 'a burst stops no more items than there are', online: 12, batch: 3, stop: 3 },
  { name: 'an excess larger than the number of items stops every item', online: 9, batch: 2, stop: 2 }
]

for (const { name, online, batch, stop } of stopCases) {
  test(name, t => { t.is(countExcessBatch({ slots: 8, online, batch }), stop) })
}

interface StartCase { readonly name: string, readonly used: readonly number[], readonly start: number, readonly servers: readonly string[] }

const startCases: readonly StartCase[] = [
  { name: 'one idle server: every slot but the headroom', used: [0], start: 7, servers: ['s0'] },
  { name: 'one server: one slot stays free for the next arrival', used: [7], start: 0, servers: ['s0'] },
  { name: 'an idle group of four: one slot stays free', used: [0, 0, 0, 0], start: 31, servers: ['s0', 's1', 's2', 's3'] },
  { name: 'a slot free at each of eight: two stay free', used: [7, 7, 7, 7, 7, 7, 7, 7], start: 6, servers: ['s0', 's1', 's2', 's3', 's4', 's5', 's6', 's7'] },
  { name: 'the headroom may be at any server', used: [8, 8, 8, 8, 8, 8, 8, 5], start: 1, servers: ['s7'] },
  { name: 'a full group: none', used: [8, 8], start: 0, servers: [] },
  { name: 'a server with more than its slots takes none from the others', used: [10, 8, 8, 5], start: 2, servers: ['s3'] },
  { name: 'no server', used: [], start: 0, servers: [] }
]

for (const { name, used, start, servers } of startCases) {
  test(`start: ${name}`, t => {
    const plan = planBatch(used.map((batch, n) => ({ server: `s${n}`, slots: 8, online: 0, batch })))
    t.deepEqual({ start: plan.start, servers: plan.servers.map(({ server }) => server) }, { start, servers })
  })
}
