import 'reflect-metadata'
import test, { type ExecutionContext } from 'ava'
import { createServer, type RequestListener } from 'node:http'
import { Agent, buildConnector, request } from 'undici'
import { serverDialect } from '../../platform/server-dialect.js'
import { listen } from '../../src/http/listen.js'
import { checkProcess } from '../../src/routing/servers/check-process.js'
import { ServerProcesses } from '../../src/routing/servers/server-processes.js'
import { InstanceList } from '../../src/store/instance-list.js'
import type { Instance } from '../../src/store/instance.js'
import type { ObjectStore } from '../../src/store/object-store.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

const LISTED = 1_000
const NEXT = 2_000
/** Time after which a server that states no start is used as a version of its own, ms. */
const UNUSED_FOR = 5_000
const STEP = 100 // ms
/** Time after which an idle connection is closed, ms. */
const KEEP_ALIVE = 10_000

function answer (status: number, body: object = {}): RequestListener {
  return (_req, res) => { res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body)) }
}

const stated = (born: number): RequestListener => answer(200, { born })

const unstated: Readonly<Record<string, RequestListener>> = {
  'is answered 404': answer(404),
  'is answered 429': answer(429),
  'is answered 500': answer(500, { born: LISTED }),
  'is answered 503': answer(503),
  'states no start': answer(200),
  'is no report': (_req, res) => { res.end('busy') }
}

/** A server whose entry shows the version v1 and the start `LISTED`, and an entry `other` of version v2 at its address where `other` is given. */
async function start (t: ExecutionContext, report: RequestListener, other?: Pick<Instance, 'startedAt'>) {
  const state = { report, runs: 0 }
  const server = createServer((req, res) => {
    if (req.url === serverDialect.report!.path) return state.report(req, res)
    state.runs++
    res.end('ran')
  })
  const port = await listen(server, '127.0.0.1', 0)
  const clock = new VirtualClock()
  const list = new InstanceList({} as ObjectStore, clock)
  const entry: Instance = { name: 's', pool: 'p', host: '127.0.0.1', port, failureDomain: '', region: '', state: 'live', version: 'v1', startedAt: LISTED }
  list.replace([entry, ...other === undefined ? [] : [{ ...entry, name: 'other', version: 'v2', startedAt: undefined, ...other } as Instance]])
  const processes = new ServerProcesses({ list, clock, log: { write: () => {} } })
  const open = (): Agent => new Agent({ connect: checkProcess(buildConnector({}), { report: serverDialect.report!, processes }), keepAliveTimeout: KEEP_ALIVE, connections: 1 })
  const agents = [open()]
  t.teardown(async () => {
    await Promise.all(agents.map(async agent => await agent.destroy()))
    server.close()
    server.closeAllConnections()
  })
  /** Sends a request, on a connection of its own if `isNew`; returns whether it ran. */
  const send = async ({ isNew = false } = {}): Promise<boolean> => {
    if (isNew) agents.unshift(open())
    const answered = await request(`http://127.0.0.1:${port}/ask`, { dispatcher: agents[0]!, method: 'POST', body: 'x' }).catch(() => undefined)
    await answered?.body.dump()
    return answered !== undefined
  }
  return { state, clock, list, entry, processes, send }
}

for (const [name, report] of Object.entries(unstated)) {
  // Guards against a stale entry that decides the version of a process that doesn't confirm it.
  test(`a server whose report ${name} gets no request by its entry, and is used as a version of its own after a while`, async t => {
    const { state, clock, processes, send } = await start(t, report)
    t.false(await send())
    await clock.advance(UNUSED_FOR - 1)
    t.false(await send())
    t.is(state.runs, 0)
    t.is(processes.findVersion('s'), 'v1')
    await clock.advance(1)
    await send()
    t.is(processes.findVersion('s'), '?s@unstated')
    t.false(processes.isCurrent({ name: 's', startedAt: LISTED, version: 'v1' }))
    t.true(await send())
  })

  // Guards against a busy server that is lost for all requests.
  test(`a server whose report ${name} once is used by its entry with the next connection`, async t => {
    const { state, clock, processes, send } = await start(t, report)
    t.false(await send())
    state.report = stated(LISTED)
    t.true(await send())
    t.is(processes.findVersion('s'), 'v1')
    state.report = report
    t.true(await send(), 'a confirmed connection stays usable')
    await clock.advance(UNUSED_FOR)
    t.true(await send())
    t.is(processes.findVersion('s'), 'v1')
  })
}

// Guards against a busy server that no request goes to for long, and against requests that all fail at one.
test('a server that does not state its start is left out for a while that grows, and not once it states it', async t => {
  const { state, clock, entry, processes, send } = await start(t, answer(503))
  const times: number[] = []
  for (let time = 0; time < UNUSED_FOR; time += STEP) {
    if (!processes.hasExited(entry)) times.push(time)
    if (!processes.hasExited(entry)) t.false(await send())
    await clock.advance(STEP)
  }
  t.deepEqual(times, [0, 500, 1_000, 2_000, 4_000])
  t.false(processes.hasExited(entry))
  state.report = stated(LISTED)
  t.true(await send({ isNew: true }))
  t.false(processes.hasExited(entry))
})

// Guards against servers that stay a version of their own, or are left out, for refusals that they have long stopped.
for (const [startedAt, version] of [[LISTED, 'v1'], [NEXT, `?s@${NEXT}`]] as const) {
  test(`a server that stated no start for a while and then states ${startedAt} has the version ${version}`, async t => {
    const { state, clock, processes, send } = await start(t, answer(503))
    await send()
    await clock.advance(UNUSED_FOR)
    await send()
    t.is(processes.findVersion('s'), '?s@unstated')
    state.report = stated(startedAt)
    await send({ isNew: true })
    t.is(processes.findVersion('s'), version)
    t.true(await send({ isNew: true }))
  })
}

// Guards against a busy server that becomes a version of its own though it states its start in between.
test('refused reports before and after a stated start do not count together', async t => {
  const { state, clock, processes, send } = await start(t, answer(503))
  await send()
  state.report = stated(LISTED)
  await send({ isNew: true })
  state.report = answer(503)
  await clock.advance(UNUSED_FOR)
  t.false(await send({ isNew: true }))
  t.is(processes.findVersion('s'), 'v1')
})

// Guards against the time of a former process that counts for the next one.
test('refused reports of a former process do not count for the next one', async t => {
  const { clock, list, entry, processes, send } = await start(t, answer(503))
  await send()
  list.replace([{ ...entry, startedAt: NEXT, version: 'v2' }])
  await clock.advance(UNUSED_FOR)
  t.false(await send())
  t.is(processes.findVersion('s'), 'v2')
})

interface SharedRow { readonly other: Pick<Instance, 'startedAt'>, readonly report: RequestListener, readonly runs: boolean, readonly versions: readonly string[], readonly out: readonly string[], readonly later: readonly string[] }

const shared: Readonly<Record<string, SharedRow>> = {
  'an entry without a start, the listed process': { other: {}, report: stated(LISTED), runs: true, versions: ['v1', `?other@${LISTED}`], out: [], later: ['v1', `?other@${LISTED}`] },
  'an entry without a start, another process': { other: {}, report: stated(NEXT), runs: false, versions: [`?s@${NEXT}`, `?other@${NEXT}`], out: ['s'], later: [`?s@${NEXT}`, `?other@${NEXT}`] },
  'an entry without a start, a process that states none': { other: {}, report: answer(503), runs: false, versions: ['v1', 'v2'], out: ['s', 'other'], later: ['?s@unstated', '?other@unstated'] },
  'an entry with another start, the listed process': { other: { startedAt: NEXT }, report: stated(LISTED), runs: true, versions: ['v1', `?other@${LISTED}`], out: ['other'], later: ['v1', `?other@${LISTED}`] },
  'an entry with the same start, the listed process': { other: { startedAt: LISTED }, report: stated(LISTED), runs: true, versions: ['v1', 'v2'], out: [], later: ['v1', 'v2'] }
}

for (const [name, { other, report, runs, versions, out, later }] of Object.entries(shared)) {
  // Guards against an entry without a start that turns the check off for all entries at its address, and against its own version being believed.
  test(`at an address with ${name}: no request goes there by an entry that the process doesn't confirm`, async t => {
    const { state, clock, list, processes, send } = await start(t, report, other)
    const names = list.all.map(({ name }) => name)
    const listVersions = (): ReadonlyArray<string | undefined> => names.map(name => processes.findVersion(name))
    t.is(await send(), runs)
    t.is(state.runs, runs ? 1 : 0)
    t.deepEqual(listVersions(), versions)
    t.deepEqual(list.all.filter(instance => processes.hasExited(instance)).map(({ name }) => name), out)
    const isStale = processes.findVersion('other') !== 'v2'
    t.is(processes.isCurrent({ name: 'other', startedAt: undefined, ...other, version: 'v2' }), !isStale)
    await clock.advance(UNUSED_FOR)
    t.true(await send({ isNew: true }))
    t.deepEqual(listVersions(), later)
    t.is(processes.isCurrent({ name: 'other', startedAt: undefined, ...other, version: 'v2' }), later[1] === 'v2')
    t.deepEqual(list.all.filter(instance => processes.hasExited(instance)), [])
  })
}
