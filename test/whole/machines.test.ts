import test from 'ava'
import { once } from 'node:events'
import { readFileSync, writeFileSync } from 'node:fs'
import { request } from 'undici'
import { MachinesFleet } from '../../harness/machines-fleet.js'
import 'reflect-metadata'
import { readTrace } from '../../src/observe/trace/read-trace.js'
import { EventEngine } from '../../stand-ins/machines/event-engine.js'
import { callDaemon } from '../helpers/call-daemon.js'
import { createWireConfiguration } from '../helpers/create-wire-configuration.js'
import { startFleet } from '../helpers/start-fleet.js'
import { startMachines } from '../helpers/start-machines.js'
import { ThreadedCaller } from '../helpers/threaded-caller.js'
import { ThreadedEngine } from '../helpers/threaded-engine.js'
import { ThreadedRelay } from '../helpers/threaded-relay.js'
import { ThreadedStore } from '../helpers/threaded-store.js'
import { writeLogs } from '../helpers/write-logs.js'

const writeStream = (path: string, events: number): string => Array.from({ length: events }, (_, i) => `id: ${i + 1}\ndata: ${EventEngine.buildEventData(path, i + 1)}\n\n`).join('')

async function readRuns (engines: readonly ThreadedEngine[]): Promise<ReadonlyArray<EventEngine['runs'][number] & { readonly server: string }>> {
  return (await Promise.all(engines.map(async engine => (await engine.readRuns()).map(run => ({ ...run, server: engine.id }))))).flat()
}

// A server breaks off in the middle of an event. The stream must continue on the other server after the last complete event,
// with the first server's response headers. A stream of a route that isn't resumable must be cut.
test('broken streams are resumed on resumable routes and cut on others', async t => {
  const engines = ['i-1', 'i-2'].map(id => new ThreadedEngine({ id }))
  const fleet = await startMachines(1, engines)
  const { front } = fleet.daemons[0]!.ports
  const lines: string[] = []
  fleet.daemons[0]!.child!.onLine(line => lines.push(line))
  t.teardown(() => { if (!t.passed) t.log(lines.join('\n')) })
  try {
    t.like(await callDaemon(front, '/quotes/1'), { status: 200, text: writeStream('/quotes/1', 6) })
    for (const engine of engines) await engine.setBreakPoints([3])
    const resumed = await callDaemon(front, '/quotes/2')
    t.like(resumed, { status: 200, text: writeStream('/quotes/2', 6) })
    const runs = (await readRuns(engines)).filter(({ path }) => path === '/quotes/2')
    t.deepEqual(runs.map(({ resumedAfter }) => resumedAfter).sort(), [3, undefined])
    t.is(resumed.headers['x-response-stamp'], `stamp-${runs.find(({ resumedAfter }) => resumedAfter === undefined)!.server}`)
    for (const engine of engines) await engine.setBreakPoints([3])
    await t.throwsAsync(callDaemon(front, '/berths/1'))
    t.is((await readRuns(engines)).filter(({ path }) => path === '/berths/1').length, 1)
    t.is((await callDaemon(front, '/nowhere/1')).status, 404)
  } finally {
    await fleet.stop()
  }
})

// The daemon that accepted a job is killed while items run. Its caller continues to read at the other daemon: results that it
// has read must keep their positions, the rest must follow, and an impossible item must end as failed.
test('a job survives the daemon that accepted it', async t => {
  const engines = ['i-1', 'i-2'].map(id => new EventEngine({ id, events: 20, pause: 25 }))
  const fleet = await startMachines(2, engines)
  const [first, second] = fleet.daemons as [typeof fleet.daemons[0], typeof fleet.daemons[0]]
  try {
    const items = ['a', 'b', 'c', 'impossible'].map(id => ({ id, path: `/drafts/${id}`, headers: { 'X-Model': 'm' }, body: 'eA==', tokens: 10 }))
    t.is((await callDaemon(first.ports.front, '/drafts/', { id: 'job-1', body: { items } })).status, 202)
    t.is((await callDaemon(second.ports.front, '/drafts/', { id: 'job-1', body: { items } })).status, 202)
    t.is((await callDaemon(second.ports.front, '/api/items/job-1?id=b', { method: 'GET' })).text, 'x')
    // A daemon that can't be sure that there are no results answers 503.
    const read = async (port: number, after = 0): Promise<any> => {
      const { status, text } = await callDaemon(port, `/api/lots/job-1?after=${after}`, { method: 'GET', headers: { 'x-wait-ms': '1000' } })
      t.true(status === 200 || status === 503, `status ${status}`)
      return status === 503 ? { results: [] } : JSON.parse(text)
    }
    let page = { results: [] as Array<{ id: string, state: string, text: string }> }
    await fleet.waitUntil('a result is available', async () => (page = await read(second.ports.front)).results.length > 0)
    t.deepEqual(page.results[0], { id: 'impossible', state: 'errored', text: '' })
    first.child!.signal('SIGKILL')
    await first.child!.waitForExit()
    const seen = page.results
    await fleet.waitUntil('all results are available', async () => (page = await read(second.ports.front)).results.length === 4)
    t.deepEqual(page.results.slice(0, seen.length), seen)
    const whole = (id: string): string => Array.from({ length: 20 }, (_, i) => EventEngine.buildEventData(`/drafts/${id}`, i + 1)).join('\n')
    t.deepEqual([...page.results].sort((a, b) => a.id < b.id ? -1 : 1).slice(0, 3), ['a', 'b', 'c'].map(id => ({ id, state: 'completed', text: whole(id) })))
  } finally {
    await fleet.stop()
  }
})

// A daemon is killed while an item of its job runs, and another one completes it. The trace of the item must contain both, and the
// second one's metrics must show a configuration no older than a watch.
test('the logs trace an item through both daemons that ran it', async t => {
  const fleet = await startMachines(2, [new EventEngine({ id: 'i-1', events: 20, pause: 25 })])
  const logs = fleet.daemons.map(({ child }) => {
    const lines: string[] = []
    child!.onLine(line => lines.push(line))
    return lines
  })
  const [first, second] = fleet.daemons as [typeof fleet.daemons[0], typeof fleet.daemons[0]]
  try {
    const items = [{ id: 'a', path: '/drafts/a', headers: {}, body: 'eA==', tokens: 10 }]
    t.is((await callDaemon(first.ports.front, '/drafts/', { id: 'job-1', body: { items } })).status, 202)
    await fleet.waitUntil('the item runs', () => logs[0]!.some(line => line.includes('started an item')))
    first.child!.signal('SIGKILL')
    await fleet.waitUntil('the item has ended', () => logs[1]!.some(line => line.includes('an item ended')))
    const trace = (await readTrace({ folder: writeLogs(t, { '0.log': logs[0]!, '1.log': logs[1]! }), id: 'a' })).unwrap()
    const course = trace.events.filter(({ kind }) => kind === 'own').map(({ instance, what }) => `${instance} ${what}`)
    t.deepEqual([trace.type, trace.related, trace.servers, trace.unread], ['item', ['job-1'], ['i-1'], []])
    t.deepEqual(course.slice(0, 3), ['edge-0 confirmed a job', 'edge-0 started an item', 'edge-1 took a job over'])
    t.is(course.at(-1), 'edge-1 an item ended')
    const metrics = await (await request(`http://127.0.0.1:${second.ports.metrics}/metrics`)).body.text()
    const readMetric = (name: string): number => Number(new RegExp(`^citronwheel_${name} ([0-9.]+)$`, 'm').exec(metrics)?.[1])
    t.true(readMetric('configuration_age_ms') <= 6_000)
    t.true(readMetric('slot_counts_age_ms') >= 0)
    t.true(readMetric('loop_delay_longest_ms') >= 0 && readMetric('loop_delay_ms_count') > 0)
  } finally {
    await fleet.stop()
  }
})

// While the store refuses calls, a job must be refused with a time to retry. A job that exceeds the cap on waiting tokens must be
// refused as well. An ended job must stop its item and stay readable.
test('jobs are refused while the store is unavailable or too many tokens wait, and stop when ended', async t => {
  const engine = new ThreadedEngine({ id: 'i-1', events: 200, pause: 50 })
  const fleet = await startFleet(new MachinesFleet<ThreadedEngine, ThreadedStore>({ store: new ThreadedStore() }), { daemons: 1, engines: [engine] })
  const { front } = fleet.daemons[0]!.ports
  const job = (id: string, tokens = 10): [string, { id: string, body: object }] => ['/drafts/', { id, body: { items: [{ id: `${id}-1`, path: `/drafts/${id}`, headers: {}, body: 'eA==', tokens }] } }]
  try {
    await fleet.store.setFaults({ down: 'busy' })
    const refused = await callDaemon(front, ...job('early'))
    t.is(refused.status, 503)
    t.true(Number(refused.headers['retry-after']) > 0)
    await fleet.store.setFaults({})
    await fleet.waitUntil('jobs are accepted again', async () => (await callDaemon(front, ...job('later'))).status === 202)
    t.is((await callDaemon(front, ...job('large', 995))).status, 429)
    await fleet.waitUntil('its item runs', async () => (await engine.readRuns()).some(({ path }) => path === '/drafts/later'))
    // The owners of the job are recorded under this name.
    t.is((await callDaemon(front, ...job('later.owner'))).status, 400)
    t.is((await callDaemon(front, '/api/lots/later', { method: 'DELETE' })).status, 200)
    await fleet.waitUntil('its item is stopped', async () => (await engine.readRuns()).every(({ outcome }) => outcome !== 'running'))
    t.is((await callDaemon(front, '/api/lots/later', { method: 'GET' })).status, 200)
    t.is((await callDaemon(front, '/api/lots/never', { method: 'GET' })).status, 404)
  } finally {
    await fleet.stop()
  }
})

// The header of a job is stored but its items are not, and the daemon restarts. When the job is submitted again, the daemon must
// not take it for an accepted one: it must store the items before it accepts and runs the job.
test('a job of which only the header was stored is not accepted', async t => {
  const engine = new EventEngine({ id: 'i-1' })
  const fleet = await startMachines(1, [engine])
  const daemon = fleet.daemons[0]!
  const submit = async (): Promise<number> => (await callDaemon(daemon.ports.front, '/drafts/', { id: 'half', body: { items: [{ id: 'half-1', path: '/drafts/half', headers: {}, body: 'eA==', tokens: 10 }] } })).status
  try {
    fleet.store.faults = { refusedKind: 'job-items' }
    t.is(await submit(), 502)
    daemon.child!.signal('SIGKILL')
    await daemon.child!.waitForExit()
    await fleet.startDaemon(daemon)
    await fleet.waitUntil('the circuit is closed', async () => (await callDaemon(daemon.ports.front, '/api/lots/never', { method: 'GET' })).status === 404)
    t.is(await submit(), 502)
    t.is(engine.runs.length, 0)
    fleet.store.faults = {}
    await fleet.waitUntil('it is accepted', async () => await submit() === 202)
    await fleet.waitUntil('it is run', () => engine.runs.some(({ outcome }) => outcome === 'whole'))
  } finally {
    await fleet.stop()
  }
})

// A daemon that gets SIGTERM must stop being announced at once, serve while callers may still cache its address, cut no stream,
// and exit. The other daemon must apply a change of the configuration and the removal of a server.
test('a stopping daemon cuts no stream, and the other daemon follows changes in the store', async t => {
  const engines = ['i-1', 'i-2'].map(id => new ThreadedEngine({ id, events: 100, pause: 20 }))
  const fleet = await startMachines(2, engines)
  const [first, second] = fleet.daemons as [typeof fleet.daemons[0], typeof fleet.daemons[0]]
  try {
    const streams = [callDaemon(first.ports.front, '/quotes/1'), callDaemon(first.ports.front, '/berths/2')]
    await fleet.waitUntil('both run', async () => (await readRuns(engines)).length === 2)
    first.child!.signal('SIGTERM')
    await fleet.waitUntil('it is no longer ready', async () => !await fleet.isReady(first))
    await fleet.waitUntil('it is no longer announced', async () => (await fleet.listAddresses(second)).length === 1)
    t.deepEqual((await Promise.all(streams)).map(({ text }) => text), [writeStream('/quotes/1', 100), writeStream('/berths/2', 100)])
    t.is(await first.child!.waitForExit(), 0)
    fleet.store.put('config', 'main', createWireConfiguration(2, { routes: [] }))
    await fleet.waitUntil('the routes are gone', async () => (await callDaemon(second.ports.front, '/quotes/2')).status === 404)
    fleet.store.put('config', 'main', createWireConfiguration(3))
    fleet.store.remove('servers', 'i-1')
    await fleet.waitUntil('the routes are back', async () => (await callDaemon(second.ports.front, '/quotes/3', { id: 'probe' })).status === 200)
    const before = (await engines[0]!.readRuns()).length
    await Promise.all(Array.from({ length: 6 }, async (_, i) => await callDaemon(second.ports.front, `/quotes/after-${i}`)))
    t.is((await engines[0]!.readRuns()).length, before)
  } finally {
    await fleet.stop()
  }
})

// The reader of a daemon's log stops, and the pipe fills. A blocking write to it would stop the event loop.
test('a daemon serves while nothing reads its log', async t => {
  const fleet = await startMachines(1, [new EventEngine({ id: 'i-1', events: 1, pause: 1 })])
  const { child, ports } = fleet.daemons[0]!
  try {
    child!.pauseOutput()
    for (let i = 0; i < 1_500; i++) await callDaemon(ports.front, `/nowhere/${'x'.repeat(400)}`)
    const answered = callDaemon(ports.front, '/quotes/1')
    const late = once(AbortSignal.timeout(5_000), 'abort')
    t.is(await Promise.race([answered.then(({ status }) => status), late.then(() => 'late')]), 200)
  } finally {
    await fleet.stop()
  }
})

// The settings file changes with and without a signal, and is invalid once. Changes must apply without a restart; an invalid file
// must change nothing and interrupt no service.
test('changed settings apply without a restart, and an invalid file changes nothing', async t => {
  const fleet = await startMachines(1, [new EventEngine({ id: 'i-1' })])
  const daemon = fleet.daemons[0]!
  const settings = readFileSync(daemon.settings, 'utf8')
  const readKeep = async (): Promise<number> => JSON.parse((await callDaemon(daemon.ports.directory, '/api/lookup?name=desk.example&zone=a', { method: 'GET' })).text).ttl_s
  try {
    const before = await readKeep()
    writeFileSync(daemon.settings, settings.replace('ttl_max_s = 5', 'ttl_max_s = 0.5'))
    daemon.child!.signal('SIGHUP')
    await fleet.waitUntil('the shorter time is announced', async () => await readKeep() === 0.5)
    writeFileSync(daemon.settings, '[listen')
    daemon.child!.signal('SIGHUP')
    t.is((await callDaemon(daemon.ports.front, '/quotes/1')).status, 200)
    t.is(await readKeep(), 0.5)
    writeFileSync(daemon.settings, settings)
    await fleet.waitUntil('the longer time is announced again, without a signal', async () => await readKeep() === before)
  } finally {
    await fleet.stop()
  }
})

// One of two daemons loses its connection to the store but still reaches the other. It must accept a job through the other before
// callers time out, and the job must run, be readable and be ended there.
test('a daemon that cannot reach the store accepts jobs through a peer', async t => {
  const engine = new ThreadedEngine({ id: 'i-1', events: 5 })
  const caller = new ThreadedCaller()
  const relays: ThreadedRelay[] = []
  const fleet = await startFleet(new MachinesFleet<ThreadedEngine, ThreadedStore>({
    store: new ThreadedStore(),
    resolveStoreAddress: async (daemon, port) => {
      const relay = new ThreadedRelay({ host: `127.60.${daemon}.1`, port })
      relays.push(relay)
      return await relay.start()
    }
  }), { daemons: 2, engines: [engine] })
  const { front } = fleet.daemons[0]!.ports
  const submit = async (id: string): Promise<{ readonly status: number, readonly time: number }> => await caller.ask(front, '/drafts/', { id, body: { items: [{ id: `${id}-1`, path: `/drafts/${id}`, headers: {}, body: 'eA==', tokens: 10 }] } })
  try {
    t.is((await submit('before')).status, 202)
    await relays[0]!.setMode({ type: 'silent' })
    const { status, time } = await submit('during')
    t.is(status, 202)
    t.log({ accepted: Math.round(time) })
    t.true(time < 1_500)
    await fleet.waitUntil('its result is available', async () => JSON.parse((await callDaemon(front, '/api/lots/during?after=0', { method: 'GET' })).text).results?.length === 1)
    t.is((await callDaemon(front, '/api/lots/during', { method: 'DELETE' })).status, 200)
    t.is((await callDaemon(front, '/api/lots/never', { method: 'GET' })).status, 404)
  } finally {
    await fleet.stop()
    caller.close()
    for (const relay of relays) relay.close()
  }
})
