import 'reflect-metadata'
import test from 'ava'
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
})

test('calls at the platform for 1,000 items stay within the stated numbers', async t => {
  const trial = await new Trial().start(1)
  const job = await createTrialJob(trial.daemons[0]!, { count: ITEMS })
  const before = trial.store.calls.length
  while ((await trial.store.get<any>('job', job.id)).unwrap().value.status !== 'completed') await trial.run(1)
  const calls = trial.store.calls.slice(before)
  const count = (...names: readonly string[]): number => calls.filter(({ call }) => names.includes(call)).length
  const writes = count('put', 'delete')
  t.log(`${ITEMS} items, ${trial.second} s: ${writes} writes, ${count('get') - trial.second} reads, ${count('list')} listings`)
  const kinds = new Map<string, number>()
  for (const { call, kind } of calls) kinds.set(`${call} ${kind}`, (kinds.get(`${call} ${kind}`) ?? 0) + 1)
  t.log([...kinds].map(([kind, calls]) => `${kind}: ${calls}`).join(', '))
  t.true(writes <= 70)
})
