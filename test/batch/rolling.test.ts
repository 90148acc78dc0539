import 'reflect-metadata'
import test from 'ava'
import type { RunRecord } from '../../stand-ins/engine/run-record.js'
import { createClient, lines, startFleet } from './helpers/process-fleet.js'

const COUNT = 1_800
const TOKENS = 60

// Guards against items lost or run twice during a rolling restart. Only an idempotent item may run twice, where a
// slow daemon is taken for dead.
test('a rolling restart during a batch job: no item is lost or duplicated', async t => {
  const fleet = await startFleet()
  t.teardown(async () => await fleet.stop())
  const client = createClient(fleet, 0)
  const text = lines(COUNT, TOKENS).split('\n').map((line, n) => n % 5 > 0 ? line : JSON.stringify({ ...JSON.parse(line), idempotent: false })).join('\n')
  const file = await client.files.create({ purpose: 'batch', file: new File([text], 'drafts.jsonl') })
  const job = await client.batches.create({ input_file_id: file.id, endpoint: '/v1/chat/completions', completion_window: '24h' })
  const readRuns = async (): Promise<readonly RunRecord[]> => (await Promise.all(fleet.servers.map(async server => await fleet.readLog(server)))).flat()
  const listFinished = async (): Promise<readonly RunRecord[]> => (await readRuns()).filter(({ outcome }) => outcome === 'finished')
  await fleet.waitUntil(async () => (await listFinished()).length > 20)

  const done: number[] = []
  for (const { child, instance } of [...fleet.daemons]) {
    child.signal('SIGTERM')
    t.is(await child.waitForExit(), 0)
    await fleet.unregister(instance.name)
    fleet.daemons.shift()
    const before = (await listFinished()).length
    done.push(before)
    await fleet.addDaemon(instance.name, instance.failureDomain)
    await fleet.waitUntil(async () => (await listFinished()).length > Math.min(COUNT - 1, before + 20))
  }
  const reader = createClient(fleet, 0)
  await fleet.waitUntil(async () => (await reader.batches.retrieve(job.id).catch(() => undefined))?.status === 'completed')
  const { request_counts: counts } = await reader.batches.retrieve(job.id)
  const output = (await (await reader.files.content(`${job.id}.output`)).text()).trim().split('\n').map(line => JSON.parse(line).custom_id)
  const finished = await listFinished()
  t.log(`${done.join(', ')} items had ended when the daemons had exited; ${finished.length} runs ended`)
  t.is(new Set(output).size, COUNT)
  t.is(output.length, COUNT)
  t.is(counts?.completed, COUNT)
  t.is(new Set(finished.map(({ requestId }) => requestId)).size, COUNT)
  const once = (await readRuns()).map(({ requestId }) => requestId).filter(id => Number(id.split('draft-')[1]) % 5 === 0)
  t.is(once.length, COUNT / 5)
  t.is(new Set(once).size, COUNT / 5)
})
