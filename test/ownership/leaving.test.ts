import test from 'ava'
import { CallerClient } from '../../harness/caller-client.js'
import { Fleet } from '../../harness/fleet.js'
import { readFolder } from '../../src/config/read-folder.js'
import type { RunRecord } from '../../stand-ins/engine/run-record.js'

/** The stated bound, ms: the list is read every second, an owner's view follows within a tenth, plus the time of a frame. */
const BOUND = 2_000
const ITEMS = 200
const NAMES = ['by list', 'by order', 'staying'] as const

// A server leaves by the platform's list, another by an operator's order. A run that starts there after the bound would be cut off
// when the server is removed.
test('a leaving server gets no new work after the bound, and its runs finish', async t => {
  const fleet = await Fleet.start()
  t.teardown(async () => await fleet.stop())
  const servers = await Promise.all(NAMES.map(async (name, i) => await fleet.addServer(name, `domain-${i}`, { pool: 'charter-engines', kind: 'engine', options: { stepBase: 10 } })))
  await Promise.all(['a', 'b'].map(async domain => await fleet.addDaemon(`entry-${domain}`, `domain-${domain}`)))
  const folder = readFolder('demo/folder').unwrap()
  const version = await fleet.apply(folder)
  const callers = fleet.daemons.map(daemon => new CallerClient(fleet.url(daemon), 'quay-desk-token'))
  const file = await callers[0]!.upload(Array.from({ length: ITEMS }, (_, i) => ({
    custom_id: `item-${i}`, method: 'POST', url: '/v1/chat/completions', body: { model: 'berth-assistant', max_tokens: 40, messages: [{ role: 'user', content: `Draft ${i}` }] }
  })))
  await callers[0]!.submit(file)
  const stopped = new AbortController()
  const outcomes: number[] = []
  const ask = async (i: number): Promise<void> => { while (!stopped.signal.aborted) outcomes.push((await callers[i % 2]!.chat('berth-assistant', `Question ${outcomes.length}`, { tokens: 10 })).status) }
  const asked = Array.from({ length: 6 }, async (_, i) => await ask(i))
  const readRuns = async (i: number): Promise<readonly RunRecord[]> => await fleet.readLog(servers[i]!)
  await fleet.waitUntil(async () => (await Promise.all([readRuns(0), readRuns(1)])).every(runs => runs.length > 10))

  await fleet.register({ ...servers[0]!.instance, state: 'leaving' })
  await fleet.apply({ ...folder, placement: { 'charter-engines': { models: [], checksFencing: true, leaving: ['by order'] } } }, version)
  const announced = Date.now()
  await fleet.waitUntil(async () => (await readRuns(2)).some(run => run.at > announced + BOUND + 500))
  stopped.abort()
  await Promise.all(asked)
  for (const i of [0, 1]) {
    const runs = await readRuns(i)
    t.log(`${NAMES[i]}: last start ${Math.max(...runs.map(({ at }) => at)) - announced} ms after the announcement`)
    t.true(runs.every(({ at }) => at <= announced + BOUND), NAMES[i])
    t.true(runs.every(({ outcome, body }) => outcome === 'finished' || (outcome === 'cancelled' && body.includes('Draft'))), NAMES[i])
  }
  t.true(outcomes.every(status => status === 200))
})
