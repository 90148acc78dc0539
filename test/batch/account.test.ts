import 'reflect-metadata'
import test from 'ava'
import type { Job } from '../../src/batch/job.js'
import { createTestJob } from './helpers/create-test-job.js'
import { Simulation } from './helpers/simulation.js'

const ITEMS = 1_000

// Guards against results counted twice when lost replies make holders repeat their writes.
test('the account counts each recorded result once, even when replies are lost', async t => {
  const simulation = await new Simulation().start(3)
  const job = await createTestJob(simulation.daemons[0]!, { count: ITEMS })
  simulation.faults.lostUntil = 150
  await simulation.run(200)
  t.is((await simulation.daemons[0]!.jobs.read(job.id)).unwrap().status, 'completed')
  const rows = simulation.daemons.flatMap(({ account }) => Object.values(account.read()))
  t.is(rows.reduce((sum, { answered }) => sum + answered, 0), ITEMS)
  t.is(rows.reduce((sum, { tokens }) => sum + tokens, 0), ITEMS)
  t.is(rows.reduce((sum, { jobs }) => sum + (jobs['on time'] ?? 0), 0), 1)
})

async function countCalls (items: number, daemons: number, slots: number): Promise<{ readonly writes: number, readonly reads: number, readonly listings: number, readonly largest: number, readonly seconds: number }> {
  const simulation = await new Simulation({ slots }).start(daemons)
  const job = await createTestJob(simulation.daemons[0]!, { count: items })
  const before = simulation.store.calls.length
  while ((simulation.store.objects.read('job', job.id)!.value as Job).status !== 'completed') await simulation.run(1)
  const calls = simulation.store.calls.slice(before)
  const count = (...names: readonly string[]): number => calls.filter(({ call }) => names.includes(call)).length
  const largest = Math.max(...['job', 'chunk', 'items', 'holding'].flatMap(kind => simulation.store.objects.list(kind, '', '', Infinity).map(({ value }) => JSON.stringify(value).length)))
  return { writes: count('put', 'delete'), reads: count('get'), listings: count('list'), largest, seconds: simulation.second }
}

// Bounds on the calls to the platform, which all daemons of the fleet share.
const BOUNDS = [
  { items: 1_000, daemons: 1, slots: 4, writes: 70, reads: 130 },
  { items: 1_000, daemons: 1, slots: 40, writes: 45, reads: 60 },
  { items: 98_000, daemons: 4, slots: 200, writes: 3_500, reads: 3_500 }
]

for (const { items, daemons, slots, writes, reads } of BOUNDS) {
  test(`${items} items on ${daemons} daemons with ${slots} slots: calls to the platform stay within bounds`, async t => {
    const counts = await countCalls(items, daemons, slots)
    t.log(JSON.stringify(counts))
    t.true(counts.writes <= writes && counts.reads <= reads)
    t.true(counts.largest < 1_000_000)
  })
}
