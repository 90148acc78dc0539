import 'reflect-metadata'
import test from 'ava'
import { createClient, lines, startFleet } from './helpers/process-fleet.js'

const COUNT = 400
const TOKENS = 120

// The other daemons take over the chunk of a paused holder and run its items again. Guards against results that
// change when the holder resumes and records its own.
test('a holder that resumes after its chunk was taken over changes no result', async t => {
  const fleet = await startFleet()
  t.teardown(async () => await fleet.stop())
  const client = createClient(fleet, 1)
  const file = await client.files.create({ purpose: 'batch', file: new File([lines(COUNT, TOKENS)], 'drafts.jsonl') })
  const job = await client.batches.create({ input_file_id: file.id, endpoint: '/v1/chat/completions', completion_window: '24h' })
  const countFinished = async (): Promise<number> => (await Promise.all(fleet.servers.map(async server => await fleet.readLog(server)))).flat().filter(({ outcome }) => outcome === 'finished').length
  const readChunk = async (n: number): Promise<any> => (await fleet.control('GET', `/objects/chunk/${encodeURIComponent(`${job.id}.${n}`)}`).catch(() => undefined))?.value
  await fleet.waitUntil(async () => await countFinished() > 5 && (await readChunk(0))?.holder !== undefined)
  const holder = (await readChunk(0)).holder.instance as string
  const paused = fleet.daemons.find(({ instance }) => instance.name === holder)!
  t.teardown(() => paused.child.signal('SIGKILL'))
  paused.child.signal('SIGSTOP')
  fleet.daemons.splice(fleet.daemons.indexOf(paused), 1)

  const seen = new Map<string, string>()
  const read = async (daemon: number): Promise<void> => {
    const reader = createClient(fleet, daemon)
    const text = await (await reader.files.content(`${job.id}.output`)).text()
    for (const line of text.split('\n').filter(line => line !== '')) {
      const { custom_id: id } = JSON.parse(line)
      t.is(seen.get(id) ?? line, line)
      seen.set(id, line)
    }
  }
  await fleet.waitUntil(async () => {
    const chunk = await readChunk(0)
    return chunk.holder?.instance !== holder && Object.keys(chunk.results).length > 10
  })
  await read(0)
  const before = seen.size
  paused.child.signal('SIGCONT')
  let known = 0
  await fleet.waitUntil(async () => {
    const { status } = await createClient(fleet, 0).batches.retrieve(job.id)
    const results = Object.keys((await readChunk(0)).results).length
    if (results !== known) await read(0)
    known = results
    return status === 'completed'
  })
  await read(0)
  await read(1)
  t.log(`${before} results read before it resumed, ${await countFinished()} runs ended for ${COUNT} items`)
  t.is(seen.size, COUNT)
})
