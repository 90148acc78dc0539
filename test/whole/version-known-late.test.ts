import test from 'ava'
import { EventEngine } from '../../stand-ins/machines/event-engine.js'
import { registerEngine } from '../../stand-ins/machines/register-engine.js'
import { callDaemon } from '../helpers/call-daemon.js'
import { startMachines } from '../helpers/start-machines.js'

const ENGINES = 3
const ITEMS = 18
const EVENTS = 60
const PAUSE = 20 // ms
/** Time from a crash to the next start, and from there to the first entry in the store, ms. */
const DOWN_TIME = 300
const ENTRY_DELAY = 600

const pause = async (time: number): Promise<void> => await new Promise(resolve => setTimeout(resolve, time))

// Guards against items that go on at a server that has come back with another version and hasn't registered it yet.
test('items of servers that crash and come back with the next version hold events of one version', async t => {
  const open = (id: string, version: string): EventEngine => new EventEngine({ id, version, events: EVENTS, pause: PAUSE })
  const engines = Array.from({ length: ENGINES }, (_, i) => open(`i-${i}`, 'v1'))
  const fleet = await startMachines(2, engines)
  const all = [...engines]
  t.teardown(async () => {
    await fleet.stop()
    for (const engine of all) engine.stop()
  })
  const front = (daemon: number): number => fleet.daemons[daemon]!.ports.front
  const items = Array.from({ length: ITEMS }, (_, i) => ({ id: `item-${i}`, path: `/drafts/item-${i}`, headers: { 'X-Model': 'm' }, body: 'eA==', tokens: 10 }))
  t.is((await callDaemon(front(0), '/drafts/', { id: 'job', body: { items } })).status, 202)
  await fleet.waitUntil('items run at all servers', () => engines.every(({ runs }) => runs.some(({ events }) => events > 5)))
  for (const engine of engines) {
    engine.stop()
    await pause(DOWN_TIME)
    const next = open(engine.id, 'v2')
    all.push(next)
    await next.start(engine.port)
    await pause(ENTRY_DELAY)
    registerEngine(fleet.store, next)
  }
  await fleet.waitUntil('all items are done', async () => JSON.parse((await callDaemon(front(1), '/api/lots/job?after=0', { method: 'GET' })).text).results?.length === ITEMS)
  const runs = all.flatMap(engine => engine.runs.map(run => ({ ...run, version: engine.version }))).sort((a, b) => a.at - b.at)
  const mixed = items.filter(({ path }) => {
    const own = runs.filter(run => run.path === path)
    const last = own.slice(Math.max(0, own.findLastIndex(({ resumedAfter }) => resumedAfter === undefined)))
    return new Set(last.filter(({ events }) => events > 0).map(({ version }) => version)).size > 1
  })
  t.deepEqual(mixed.map(({ id }) => id), [])
})
