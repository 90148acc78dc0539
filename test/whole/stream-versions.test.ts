import test, { type ExecutionContext } from 'ava'
import type { MachinesFleet } from '../../harness/machines-fleet.js'
import { EventEngine } from '../../stand-ins/machines/event-engine.js'
import { registerEngine } from '../../stand-ins/machines/register-engine.js'
import { callDaemon } from '../helpers/call-daemon.js'
import { listMixedStreams } from '../helpers/list-mixed-streams.js'
import { readStream, type StreamReading } from '../helpers/read-stream.js'
import { startMachines } from '../helpers/start-machines.js'

// Guards against streams that go on at another version of a server's software than the one that began them.

const EVENTS = 12
const PAUSE = 20
/** Streams of each trial. */
const STREAMS = 12
/** Longest time to a refusal that needs no server, ms. */
const PROMPT = 1_000
const SIGNALS = { kill: 'SIGKILL', restart: 'SIGTERM' } as const

interface Fleet { readonly fleet: MachinesFleet, readonly engines: EventEngine[], readonly port: (daemon: number) => number }

async function start (t: ExecutionContext, versions: readonly unknown[], daemons = 3): Promise<Fleet> {
  const engines = versions.map((version, i) => new EventEngine({ id: `i-${i}`, version, events: EVENTS, pause: PAUSE, slots: 64 }))
  const fleet = await startMachines(daemons, engines)
  t.teardown(async () => await fleet.stop())
  return { fleet, engines, port: daemon => fleet.daemons[daemon]!.ports.front }
}

function listPaths (name: string): readonly string[] {
  return Array.from({ length: STREAMS }, (_, i) => `/quotes/${name}-${i}`)
}

const two = ['v1', 'v2', 'v1', 'v2'] as const
const mixes: ReadonlyArray<readonly [string, readonly unknown[]]> = [
  ['two versions', two],
  ['a server without a version beside others', ['v1', undefined, 'v1', undefined]],
  ['a bad version beside others', ['v1', 7, 'v1', '', { v: 1 }]]
]

for (const [name, versions] of mixes) {
  test.serial(`within one answer, ${name}: a stream goes on at the version that began it, or is broken off`, async t => {
    const { engines, port } = await start(t, versions, 1)
    for (const engine of engines) engine.breakPoints = [3, 0, 3]
    const readings = await Promise.all(listPaths('a').map(async path => await readStream(port(0), { id: path, path })))
    t.deepEqual(listMixedStreams(engines), [])
    t.true(readings.some(({ whole }) => whole))
  })
}

test.serial('within one answer: a stream whose server is the only one of its version goes on there', async t => {
  const { engines, port } = await start(t, ['v1', 'v2'], 1)
  for (const engine of engines) engine.breakPoints = [3]
  const { whole } = await readStream(port(0), { id: 'a', path: '/quotes/a' })
  t.true(whole)
  t.deepEqual(engines.map(({ runs }) => runs.length).sort(), [0, 2])
})

test.serial('within one answer: a stream whose version has no server left is broken off', async t => {
  const { fleet, engines, port } = await start(t, ['v1', 'v2'], 1)
  const reading = readStream(port(0), { id: 'a', path: '/quotes/a' })
  await fleet.waitUntil('it has begun', () => engines.some(({ runs }) => (runs[0]?.events ?? 0) > 1))
  const began = engines.find(({ runs }) => runs.length > 0)!
  fleet.store.remove('servers', began.id)
  began.stop()
  const { whole, time } = await reading
  t.false(whole)
  t.true(time < PROMPT)
  t.is(engines.flatMap(({ runs }) => runs).length, 1)
})

/** Begins streams at daemon 0, which their callers leave after three events. */
async function beginStreams ({ port }: Fleet): Promise<readonly string[]> {
  const paths = listPaths('a')
  const readings = await Promise.all(paths.map(async path => await readStream(port(0), { id: path, path, leaveAfter: 3 })))
  if (readings.some(({ last }) => last < 3)) throw new Error(`a stream didn't begin: ${JSON.stringify(readings)}`)
  return paths
}

async function resumeAll (port: number, paths: readonly string[], { after = 3, attempt = 'b', leaveAfter }: { readonly after?: number, readonly attempt?: string, readonly leaveAfter?: number } = {}): Promise<readonly StreamReading[]> {
  return await Promise.all(paths.map(async path => await readStream(port, { id: `${path}-${attempt}`, path, resumes: path, after, leaveAfter })))
}

/** Sums a counter over the daemons, of the lines whose labels include `label`. */
async function sumCounter ({ fleet }: Fleet, name: string, label = ''): Promise<number> {
  const texts = await Promise.all(fleet.daemons.map(async ({ ports }) => (await callDaemon(ports.metrics, '/metrics', { method: 'GET' })).text))
  if (!texts.every(text => text.includes('citronwheel_requests_total') || text.includes('citronwheel_entry_connections'))) throw new Error('a daemon shows no metrics')
  const lines = [...texts.join('\n').matchAll(new RegExp(`^citronwheel_${name}\\{([^}]*)\\} (\\d+)$`, 'gm'))]
  return lines.filter(([, labels]) => labels!.includes(label)).reduce((sum, [,, count]) => sum + Number(count), 0)
}

/** Returns a function that counts the reads of stored origins since this call. */
function watchReads ({ fleet }: Fleet): () => number {
  const { objects } = fleet.store
  const list = objects.list.bind(objects)
  let reads = 0
  objects.list = (kind, ...more) => {
    if (kind === 'stream-origins') reads++
    return list(kind, ...more)
  }
  return () => reads
}

/** Counts the messages about origins of streams that the daemons have sent. */
async function countMessages (fleet: Fleet): Promise<number> {
  return await sumCounter(fleet, 'stream_origin_messages_total')
}

test.serial('at another daemon: a stream goes on at the version that began it', async t => {
  const fleet = await start(t, two)
  const readings = await resumeAll(fleet.port(1), await beginStreams(fleet))
  t.deepEqual(listMixedStreams(fleet.engines), [])
  t.is(readings.filter(({ whole }) => whole).length, STREAMS)
  // Each stream is told to the two other daemons.
  t.true(await countMessages(fleet) >= 2 * STREAMS)
  t.true(fleet.engines.flatMap(({ runs }) => runs).filter(({ resumedAfter }) => resumedAfter !== undefined).every(({ path, resumes }) => resumes === path))
})

test.serial('a second resumption at a third daemon goes on at the version that began the stream', async t => {
  const fleet = await start(t, two)
  const paths = await beginStreams(fleet)
  await resumeAll(fleet.port(1), paths, { leaveAfter: 3 })
  const readings = await resumeAll(fleet.port(2), paths, { after: 6, attempt: 'c' })
  t.deepEqual(listMixedStreams(fleet.engines), [])
  t.is(readings.filter(({ whole }) => whole).length, STREAMS)
})

for (const [how, signal] of Object.entries(SIGNALS)) {
  test.serial(`after a ${how} of the daemon that relayed them, streams go on at the version that began them`, async t => {
    const fleet = await start(t, two, 4)
    const paths = await beginStreams(fleet)
    fleet.fleet.daemons[0]!.child!.signal(signal)
    const readings = await resumeAll(fleet.port(1), paths)
    t.deepEqual(listMixedStreams(fleet.engines), [])
    t.true(readings.filter(({ whole }) => whole).length >= STREAMS / 2)
  })
}

test.serial('after a kill of all daemons no stream goes on at another version; new ones begin', async t => {
  const fleet = await start(t, two)
  const paths = await beginStreams(fleet)
  for (const { child } of fleet.fleet.daemons) child!.signal('SIGKILL')
  for (const daemon of fleet.fleet.daemons) {
    await daemon.child!.waitForExit()
    await fleet.fleet.startDaemon(daemon)
  }
  const readings = await resumeAll(fleet.port(1), paths)
  t.deepEqual(listMixedStreams(fleet.engines), [])
  t.true(readings.every(({ whole, status }) => whole || status === 503))
  t.true((await readStream(fleet.port(1), { id: 'n', path: '/quotes/new' })).whole)
})

/** Ends all daemons at once and starts them again. */
async function restartAll ({ fleet }: Fleet): Promise<void> {
  for (const { child } of fleet.daemons) child!.signal('SIGKILL')
  await Promise.all(fleet.daemons.map(async ({ child }) => await child!.waitForExit()))
  await Promise.all(fleet.daemons.map(async daemon => await fleet.startDaemon(daemon)))
}

async function addEngines ({ fleet, engines }: Fleet, version: string): Promise<void> {
  for (const n of [0, 1]) {
    const engine = new EventEngine({ id: `${version}-${n}`, version, events: EVENTS, pause: PAUSE, slots: 64 })
    await engine.start()
    fleet.engines.push(engine)
    engines.push(engine)
    registerEngine(fleet.store, engine)
  }
}

function removeEngines ({ fleet, engines }: Fleet, version: string): void {
  for (const engine of engines.filter(other => other.version === version)) {
    fleet.store.remove('servers', engine.id)
    engine.stop()
  }
}

/** Waits until the streams of version v1 need no record. */
async function waitForDefault ({ fleet }: Fleet): Promise<void> {
  await fleet.waitUntil('v1 is the default', () => fleet.store.objects.read('stream-origins', 'defaults') !== undefined)
}

// Guards against streams that go on at another version once a daemon has run for one attempt's time, though their callers have more attempts.
test.serial('after a kill of all daemons, with the servers of the version that began them gone, streams are refused however late they are resumed', async t => {
  const fleet = await start(t, ['v1', 'v1'])
  await waitForDefault(fleet)
  const paths = await beginStreams(fleet)
  await addEngines(fleet, 'v2')
  removeEngines(fleet, 'v1')
  await restartAll(fleet)
  for (const attempt of ['b', 'c']) {
    const readings = await resumeAll(fleet.port(1), paths, { attempt })
    t.deepEqual(listMixedStreams(fleet.engines), [])
    t.true(readings.every(({ status, time }) => status === 503 && time < PROMPT))
    t.true((await readStream(fleet.port(1), { id: `new-${attempt}`, path: `/quotes/new-${attempt}` })).whole)
    if (attempt === 'b') await new Promise(resolve => setTimeout(resolve, 6_500))
  }
})

// Guards against a refusal of every stream that is resumed after all daemons have ended, while both versions serve.
for (const [name, versions] of [['began beside servers of two versions', two], ['began while there was one version', ['v1', 'v1']]] as const) {
  test.serial(`after a kill of all daemons streams that ${name} go on at the version that began them`, async t => {
    const fleet = await start(t, versions)
    if (versions !== two) await waitForDefault(fleet)
    const paths = await beginStreams(fleet)
    if (versions !== two) await addEngines(fleet, 'v2')
    await restartAll(fleet)
    await fleet.fleet.waitUntil('servers are known', async () => (await readStream(fleet.port(1), { id: 'new', path: '/quotes/new' })).whole)
    const readings = await resumeAll(fleet.port(1), paths)
    t.deepEqual(listMixedStreams(fleet.engines), [])
    t.is(readings.filter(({ whole }) => whole).length, STREAMS)
  })
}

test.serial('a second release: streams that began before it, at either version, go on after a kill of all daemons', async t => {
  const fleet = await start(t, ['v1', 'v1'])
  await waitForDefault(fleet)
  const first = await beginStreams(fleet)
  await addEngines(fleet, 'v2')
  await new Promise(resolve => setTimeout(resolve, 1_000))
  const second = listPaths('b')
  await Promise.all(second.map(async path => await readStream(fleet.port(2), { id: path, path, leaveAfter: 3 })))
  await restartAll(fleet)
  const paths = [...first, ...second]
  await fleet.fleet.waitUntil('servers are known', async () => (await readStream(fleet.port(1), { id: 'new', path: '/quotes/new' })).whole)
  const readings = await resumeAll(fleet.port(1), paths)
  t.deepEqual(listMixedStreams(fleet.engines), [])
  t.is(readings.filter(({ whole }) => whole).length, paths.length)
  t.true(fleet.engines.filter(({ version }) => version === 'v2').some(({ runs }) => runs.length > 0))
})

test.serial('a stream whose attempt is unknown or unnamed is refused where there are two versions, and not held', async t => {
  const fleet = await start(t, two)
  for (const resumes of ['unknown', undefined]) {
    const { status, time } = await readStream(fleet.port(1), { id: `b-${resumes}`, path: `/quotes/${resumes}`, resumes, after: 3 })
    t.is(status, 503)
    t.true(time < PROMPT)
  }
  t.is(fleet.engines.flatMap(({ runs }) => runs).length, 0)
})

test.serial('with one server left of its version a stream goes on there; with none it is refused at once', async t => {
  const fleet = await start(t, two)
  const paths = await beginStreams(fleet)
  const began = (engine: EventEngine): boolean => engine.runs.some(({ resumedAfter }) => resumedAfter === undefined)
  const [first] = fleet.engines.filter(({ version }) => version === 'v1') as [EventEngine]
  fleet.fleet.store.remove('servers', first.id)
  t.is((await resumeAll(fleet.port(1), paths, { leaveAfter: 3 })).filter(({ last }) => last === 6).length, STREAMS)
  for (const engine of fleet.engines.filter(({ version }) => version === 'v1')) fleet.fleet.store.remove('servers', engine.id)
  const readings = await resumeAll(fleet.port(2), paths, { after: 6, attempt: 'c' })
  t.deepEqual(listMixedStreams(fleet.engines), [])
  t.true(fleet.engines.some(began))
  t.true(readings.every(({ whole, status, time }) => whole || (status === 503 && time < PROMPT)))
  t.true(readings.some(({ whole }) => whole) && readings.some(({ status }) => status === 503))
})

test.serial('a server that is born again under its id with another version is another version', async t => {
  const fleet = await start(t, ['v1', 'v2'])
  const paths = await beginStreams(fleet)
  const [old, other] = fleet.engines as [EventEngine, EventEngine]
  old.stop()
  const reborn = new EventEngine({ id: old.id, version: 'v3', events: EVENTS, pause: PAUSE, slots: 64 })
  await reborn.start()
  registerEngine(fleet.fleet.store, reborn)
  await resumeAll(fleet.port(1), paths)
  t.deepEqual(listMixedStreams([old, other, reborn]), [])
  reborn.stop()
})

// Guards against messages and calls of the store for each stream where all servers have one version; one that a caller takes up may cost some.
test.serial('with one version streams go on anywhere; their beginning costs nothing, and a resumption at most a question to each other daemon and a read of the store', async t => {
  const fleet = await start(t, ['v1', 'v1'])
  await waitForDefault(fleet)
  // A daemon can't know of a version that has just gone until it has run for as long as a stream may last.
  await new Promise(resolve => setTimeout(resolve, 6_500))
  const countReads = watchReads(fleet)
  const paths = await beginStreams(fleet)
  t.is(await countMessages(fleet), 0)
  t.is(countReads(), 0)
  const readings = await resumeAll(fleet.port(1), paths)
  t.is(readings.filter(({ whole }) => whole).length, STREAMS)
  t.is(await sumCounter(fleet, 'stream_origin_messages_total', 'told'), 0)
  t.true(await countMessages(fleet) <= STREAMS * (fleet.fleet.daemons.length - 1))
  t.true(countReads() <= STREAMS)
  t.is(fleet.fleet.store.objects.list('stream-origins', 'records-', '', STREAMS).length, 0)
})

// Guards against callers that a daemon refuses after each restart, although there is one version.
test.serial('a daemon that has just started learns from others that there is one version', async t => {
  const fleet = await start(t, ['v1', 'v1'])
  await new Promise(resolve => setTimeout(resolve, 6_500))
  const [, daemon] = fleet.fleet.daemons as [unknown, typeof fleet.fleet.daemons[0]]
  daemon.child!.signal('SIGKILL')
  await daemon.child!.waitForExit()
  await fleet.fleet.startDaemon(daemon)
  await fleet.fleet.waitUntil('it sees the others', async () => (await fleet.fleet.listAddresses(daemon)).length === 3)
  t.true((await readStream(fleet.port(1), { id: 'b', path: '/quotes/a', after: 3 })).whole)
  t.true((await readStream(fleet.port(1), { id: 'c', path: '/quotes/b', resumes: 'b', after: 3 })).whole)
})

test.serial('items of a job go on at the version that began them, or begin anew, also after their owner has ended', async t => {
  const fleet = await start(t, two)
  for (const engine of fleet.engines) engine.breakPoints = Array.from({ length: 40 }, (_, i) => 2 + i % 5)
  const items = Array.from({ length: STREAMS }, (_, i) => ({ id: `item-${i}`, path: `/drafts/item-${i}`, headers: { 'X-Model': 'm' }, body: 'eA==', tokens: 10 }))
  t.is((await callDaemon(fleet.port(0), '/drafts/', { id: 'job-1', body: { items } })).status, 202)
  await fleet.fleet.waitUntil('items run', () => fleet.engines.some(({ runs }) => runs.some(({ resumedAfter }) => resumedAfter !== undefined)))
  fleet.fleet.daemons[0]!.child!.signal('SIGTERM')
  const read = async (): Promise<number> => JSON.parse((await callDaemon(fleet.port(1), '/api/lots/job-1?after=0', { method: 'GET' })).text).results.length
  await fleet.fleet.waitUntil('all items are done', async () => await read().catch(() => 0) === STREAMS)
  t.deepEqual(listMixedStreams(fleet.engines), [])
})
