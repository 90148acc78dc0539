import 'reflect-metadata'
import test from 'ava'
import type { Job } from '../../src/batch/job.js'
import { createTrialJob } from './helpers/create-trial-job.js'
import { Trial } from './helpers/trial.js'

const ITEMS = 1_000

// What the account shows: each recorded result once. Replies to writes are lost all along, so holders write the same
// results again and find their own; the one whose name the closed chunk keeps counts it, however often it asks.
test('the account counts each recorded result once, also when replies are lost', async t => {
  const trial = await new Trial().start(3)
  const job = await createTrialJob(trial.daemons[0]!, { count: ITEMS })
  trial.faults.lostUntil = 150
  await trial.run(200)
  t.is((await trial.daemons[0]!.jobs.read(job.id)).unwrap().status, 'completed')
  const rows = trial.daemons.flatMap(({ account }) => Object.values(account.read()))
  t.is(rows.reduce((sum, { answered }) => sum + answered, 0), ITEMS)
  t.is(rows.reduce((sum, { tokens }) => sum + tokens, 0), ITEMS)
  t.is(rows.reduce((sum, { jobs }) => sum + (jobs['on time'] ?? 0), 0), 1)
})

async function countCalls (items: number, daemons: number, slots: number): Promise<{ readonly writes: number, readonly reads: number, readonly listings: number, readonly largest: number, readonly seconds: number }> {
  const trial = await new Trial({ slots }).start(daemons)
  const job = await createTrialJob(trial.daemons[0]!, { count: items })
  const before = trial.store.calls.length
  while ((trial.store.objects.read('job', job.id)!.value as Job).status !== 'completed') await trial.run(1)
  const calls = trial.store.calls.slice(before)
  const count = (...names: readonly string[]): number => calls.filter(({ call }) => names.includes(call)).length
  const largest = Math.max(...['job', 'chunk', 'items', 'holding'].flatMap(kind => trial.store.objects.list(kind, '', '', Infinity).map(({ value }) => JSON.stringify(value).length)))
  return { writes: count('put', 'delete'), reads: count('get'), listings: count('list'), largest, seconds: trial.second }
}

// Bounds of the calls at the platform, which the whole fleet shares: they are what the state is designed for.
const BOUNDS = [
  { items: 1_000, daemons: 1, slots: 4, writes: 70, reads: 130 },
  { items: 1_000, daemons: 1, slots: 40, writes: 45, reads: 60 },
  { items: 98_000, daemons: 4, slots: 200, writes: 3_500, reads: 3_500 }
]

for (const { items, daemons, slots, writes, reads } of BOUNDS) {
  test(`${items} items on ${daemons} daemons with ${slots} slots: calls at the platform within bounds`, async t => {
    const counts = await countCalls(items, daemons, slots)
    t.log(JSON.stringify(counts))
    t.true(counts.writes <= writes && counts.reads <= reads)
    t.true(counts.largest < 1_000_000)
  })
}
