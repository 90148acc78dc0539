import 'reflect-metadata'
import test from 'ava'
import { Err } from 'ts-results'
import { planItemRetry } from '../../src/batch/plan-item-retry.js'
import { createTestJob } from './helpers/create-test-job.js'
import { readLines } from './helpers/read-lines.js'
import { Simulation } from './helpers/simulation.js'

const ITEMS = 500

test('retry plans of items that were given back', t => {
  const given = { why: 'server failed', ran: true, idempotent: true, attempts: 0, server: 'engine-1' } as const
  const table = [
    [given, { type: 'again', pause: 200, attempts: 1 }],
    [{ ...given, attempts: 3 }, { type: 'again', pause: 1_600, attempts: 4 }],
    [{ ...given, why: 'gave way', attempts: 4 }, { type: 'again', pause: 0, attempts: 4 }],
    [{ ...given, why: 'aborted', attempts: 4 }, { type: 'again', pause: 0, attempts: 4 }],
    [{ ...given, idempotent: false, ran: false }, { type: 'again', pause: 200, attempts: 1 }]
  ] as const
  for (const [back, plan] of table) t.deepEqual(planItemRetry(back), plan)
  const over = planItemRetry({ ...given, attempts: 4 })
  t.is(over.type === 'finish' && over.result.type === 'failed' && over.result.cause, 'server-failed')
  const unknown = planItemRetry({ ...given, why: 'gave way', idempotent: false })
  t.is(unknown.type === 'finish' && unknown.result.type === 'failed' && unknown.result.cause, 'unknown')
})

// Guards against items that fail everywhere being retried without end or delaying the others.
test('items that can\'t succeed fail with their cause, the others complete', async t => {
  const simulation = await new Simulation({
    answer: ({ item }, run) => {
      switch (item.id) {
        case 'item-10': return { type: 'failed', cause: 'status-400', detail: 'no' }
        case 'item-20':
        case 'item-30': return ['server failed', { ran: true, server: `engine-${run}` }]
        case 'item-40': return { type: 'completed', status: 200, body: 'x'.repeat(500_000) }
        default: return { type: 'completed', status: 200, body: {} }
      }
    }
  }).start(2)
  const job = await createTestJob(simulation.daemons[0]!, { count: ITEMS, idempotent: i => i !== 30 })
  await simulation.run(120)
  const ended = (await simulation.daemons[0]!.jobs.read(job.id)).unwrap()
  const lines = [...(await readLines(simulation.daemons[0]!, job)).values()].map(line => JSON.parse(line))
  const failed = lines.filter(({ error }) => error !== null).map(({ custom_id: id, error }) => [id, error.code])
  t.is(ended.status, 'completed')
  t.is(lines.length, ITEMS)
  t.deepEqual(failed.sort(), [['item-10', 'status-400'], ['item-20', 'server-failed'], ['item-30', 'unknown'], ['item-40', 'result-too-large']])
  t.deepEqual(['item-10', 'item-20', 'item-30'].map(id => simulation.runs.filter(({ item }) => item === id).length), [1, 5, 1])
})

// Guards against preempted items that fail after too many attempts or lose the tokens generated so far.
test('a preemption doesn\'t count as an attempt and keeps the generated tokens', async t => {
  const resumed: number[] = []
  const simulation = await new Simulation({
    answer: ({ resumeFrom = [] }) => {
      resumed.push(resumeFrom.length)
      if (resumeFrom.length < 12) return ['gave way', { ran: true, server: 'engine-1', tokens: [...resumeFrom, 'word'] }]
      return { type: 'completed', status: 200, body: {} }
    }
  }).start(1)
  const job = await createTestJob(simulation.daemons[0]!, { count: 1 })
  await simulation.run(30)
  t.deepEqual(resumed, Array.from({ length: 13 }, (_, i) => i))
  t.is((await simulation.daemons[0]!.jobs.read(job.id)).unwrap().finished[0]!.completed, 1)
})

// Guards against limits in characters: an object over the platform's 1 MB in bytes is refused on every attempt, and
// its chunk never ends.
test('long answers in any script are stored, and no object exceeds the platform\'s limit', async t => {
  const simulation = await new Simulation({ slots: 40, answer: ({ item }) => ({ type: 'completed', status: 200, body: `${item.id} ${'潮'.repeat(20_000)}` }) }).start(2)
  const { store } = simulation
  const put = store.put.bind(store)
  store.put = async (kind, name, value, version) => {
    if (Buffer.byteLength(JSON.stringify(value)) > 1_000_000) return Err({ type: 'invalid', reason: 'over 1 MB' })
    return await put(kind, name, value, version)
  }
  const job = await createTestJob(simulation.daemons[0]!, { count: 200 })
  await simulation.run(60)
  t.is((await simulation.daemons[0]!.jobs.read(job.id)).unwrap().status, 'completed')
  const lines = await readLines(simulation.daemons[1]!, job)
  t.is(lines.size, 200)
  for (const [id, line] of lines) t.is(JSON.parse(line).response.body, `${id} ${'潮'.repeat(20_000)}`)
  t.true(store.objects.list('part', '', '', Infinity).length > 0)
})
