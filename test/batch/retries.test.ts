import 'reflect-metadata'
import test from 'ava'
import { Err } from 'ts-results'
import { planRetry } from '../../src/batch/plan-retry.js'
import { createTestJob } from './helpers/create-test-job.js'
import { readLines } from './helpers/read-lines.js'
import { Simulation } from './helpers/simulation.js'

const ITEMS = 500

test('what becomes of an item that was given back', t => {
  const given = { why: 'server failed', ran: true, idempotent: true, attempts: 0, server: 'engine-1' } as const
  const table = [
    [given, { type: 'again', pause: 200, attempts: 1 }],
    [{ ...given, attempts: 3 }, { type: 'again', pause: 1_600, attempts: 4 }],
    [{ ...given, why: 'gave way', attempts: 4 }, { type: 'again', pause: 0, attempts: 4 }],
    [{ ...given, why: 'aborted', attempts: 4 }, { type: 'again', pause: 0, attempts: 4 }],
    [{ ...given, idempotent: false, ran: false }, { type: 'again', pause: 200, attempts: 1 }]
  ] as const
  for (const [back, plan] of table) t.deepEqual(planRetry(back), plan)
  const over = planRetry({ ...given, attempts: 4 })
  t.is(over.type === 'finish' && over.result.type === 'failed' && over.result.cause, 'server-failed')
  const unknown = planRetry({ ...given, why: 'gave way', idempotent: false })
  t.is(unknown.type === 'finish' && unknown.result.type === 'failed' && unknown.result.cause, 'unknown')
})

// What the caller sees: 500 items, four of which can't be done, end; the four with their causes, the rest completed.
// One is refused for good, one fails at every server, one is too large an answer to keep, one non-idempotent fails
// with its fate unknown. The ones that fail everywhere must neither be tried without end nor hold up the others.
test('items that can never be done end as failed with their cause, the others complete', async t => {
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

// What the caller sees: its item done however often it gave way to online requests. A preemption isn't an attempt,
// and the next run gets the tokens of the one before.
test('giving way is no attempt, and keeps what was generated', async t => {
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

// What the caller sees: every answer, also where each is long and in a script of three bytes a character. A chunk's
// results outgrow the platform's 1 MB a value, counted in bytes; what doesn't fit moves to parts of its own, and a
// limit kept in characters would have the write refused for good, and the chunk never end.
test('long answers in any script are kept, and no object passes the platform\'s limit', async t => {
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
