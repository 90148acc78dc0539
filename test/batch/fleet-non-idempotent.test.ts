import 'reflect-metadata'
import test from 'ava'
import { createClient, lines, startFleet } from './helpers/process-fleet.js'

// Guards against a second run of items that a killed daemon had sent. The engines' logs show which items ran.
test('a daemon killed while non-idempotent items run: none runs twice', async t => {
  const fleet = await startFleet()
  t.teardown(async () => await fleet.stop())
  const client = createClient(fleet, 1)
  const text = lines(40, 60).split('\n').map((line, n) => n % 2 === 0 ? line : JSON.stringify({ ...JSON.parse(line), idempotent: false })).join('\n')
  const file = await client.files.create({ purpose: 'batch', file: new File([text], 'drafts.jsonl') })
  const job = await client.batches.create({ input_file_id: file.id, endpoint: '/v1/chat/completions', completion_window: '24h' })
  const readRuns = async (): Promise<readonly string[]> => (await Promise.all(fleet.servers.map(async server => await fleet.readLog(server)))).flat().map(({ requestId }) => requestId)
  await fleet.waitUntil(async () => (await readRuns()).filter(id => Number(id.split('draft-')[1]) % 2 === 1).length > 2)
  const holding = await fleet.control('GET', '/objects/chunk/' + encodeURIComponent(`${job.id}.0`))
  const holder = fleet.daemons.findIndex(({ instance }) => instance.name === holding.value.holder.instance)
  fleet.daemons[holder]!.child.signal('SIGKILL')
  await fleet.unregister(fleet.daemons[holder]!.instance.name)
  const reader = createClient(fleet, holder === 1 ? 2 : 1)
  await fleet.waitUntil(async () => (await reader.batches.retrieve(job.id)).status === 'completed')
  const done = await reader.batches.retrieve(job.id)
  const ids = (await Promise.all([done.output_file_id!, done.error_file_id!].map(async id => await (await reader.files.content(id)).text()))).join('').trim().split('\n').map(line => JSON.parse(line))
  t.is(new Set(ids.map(({ custom_id: id }) => id)).size, 40)
  const unknown = ids.filter(({ error }) => error?.code === 'unknown').length
  t.log(`unknown: ${unknown} of 20`)
  t.true(unknown <= 12)
  const once = (await readRuns()).filter(id => Number(id.split('draft-')[1]) % 2 === 1)
  t.is(new Set(once).size, once.length)
  t.deepEqual(ids.filter(({ error }) => error !== null && error.code !== 'unknown'), [])
})
