import test, { type ExecutionContext } from 'ava'
import { resolve } from 'node:path'
import { MachinesFleet } from '../../harness/machines-fleet.js'
import { EventEngine } from '../../stand-ins/machines/event-engine.js'
import { ObjectApi } from '../../stand-ins/machines/object-api.js'
import { registerEngine } from '../../stand-ins/machines/register-engine.js'
import { listMixedStreams } from '../helpers/list-mixed-streams.js'
import { readStream, type StreamReading } from '../helpers/read-stream.js'
import { startFleet } from '../helpers/start-fleet.js'

const EVENTS = 12
const PAUSE = 20 // ms
const SLOTS = 64
const DAEMONS = 5
/** Daemon that is out of step, and those that relay the streams. */
const LATE = 0
const RELAYING = [1, 2]
const STREAMS = 24
/** Streams that begin at once; daemons with little load so far would refuse more. */
const AT_ONCE = 8
/** Longest time to a refusal that needs no server, ms. */
const PROMPT = 1_000
/** Longest time of one attempt, ms. */
const TIMEOUT = 2_000
/** How long the late daemon goes on standing still once streams are taken up at it, ms. */
const STILL_TIME = 500
/** How many times a caller that was refused comes again, and the pause before each, ms. */
const RETRIES = 5
const RETRY_PAUSE = 200

type State = 'in step' | 'cut off from the store and the other daemons' | 'cut off from the store' | 'standing still' | 'without the store, as all others'
type Fate = 'live' | 'are killed'
interface Fleet { readonly fleet: MachinesFleet, readonly engines: EventEngine[] }

const pause = async (time: number): Promise<void> => await new Promise(resolve => setTimeout(resolve, time))

function open (id: string, version: string): EventEngine {
  return new EventEngine({ id, version, events: EVENTS, pause: PAUSE, slots: SLOTS })
}

/** Starts a fleet in which version v1 is the default, and has been the only one for as long as a daemon's view of it can count. */
async function start (t: ExecutionContext, state: State): Promise<Fleet> {
  const engines = [open('i-0', 'v1'), open('i-1', 'v1')]
  const listHeld = (): readonly number[] => [fleet.store.port, ...state === 'cut off from the store' ? [] : fleet.daemons.map(({ ports }) => ports.control)]
  const getEnvironment = (daemon: number): Record<string, string> => daemon === LATE ? { NODE_OPTIONS: `--require ${resolve('test/helpers/hold-arrivals.cjs')}`, HELD_PORTS: listHeld().join() } : {}
  const fleet = new MachinesFleet({ store: new ObjectApi(), getEnvironment })
  t.teardown(async () => await fleet.stop())
  const route = { host: 'desk.example', name: 'quotes', path_prefix: '/quotes/', kind: 'streaming', resumable: true, timeout_ms: TIMEOUT, slo_ms: 300, priority: 0, service: 'helm', attempts: 2 }
  await startFleet(fleet, { daemons: DAEMONS, engines, configuration: { routes: [route] } })
  await fleet.waitUntil('v1 is the default', () => fleet.store.objects.read('stream-origins', 'defaults') !== undefined)
  await pause(TIMEOUT)
  return { fleet, engines }
}

function port ({ fleet }: Fleet, daemon: number): number {
  return fleet.daemons[daemon]!.ports.front
}

function disturb ({ fleet }: Fleet, state: State, moment: 'begins' | 'ends'): void {
  const { child } = fleet.daemons[LATE]!
  switch (state) {
    case 'in step': return
    case 'without the store, as all others':
      fleet.store.faults.down = moment === 'begins' ? 'silent' : undefined
      return
    case 'standing still': return child!.signal(moment === 'begins' ? 'SIGSTOP' : 'SIGCONT')
    case 'cut off from the store':
    case 'cut off from the store and the other daemons': child!.signal('SIGUSR2')
  }
}

/** Adds servers of version v2, and waits until the daemons that will relay the streams send to them. */
async function release (trial: Fleet): Promise<void> {
  const { fleet, engines } = trial
  const added = [open('i-2', 'v2'), open('i-3', 'v2')]
  for (const engine of added) {
    await engine.start()
    fleet.engines.push(engine)
    engines.push(engine)
    registerEngine(fleet.store, engine)
  }
  for (const daemon of RELAYING) {
    const isSent = (): boolean => added.some(({ runs }) => runs.some(({ path }) => path.startsWith(`/quotes/probe-${daemon}`)))
    for (let n = 0; !isSent(); n++) await readStream(port(trial, daemon), { id: `probe-${daemon}-${n}`, path: `/quotes/probe-${daemon}-${n}` })
  }
}

async function beginStreams (trial: Fleet): Promise<readonly string[]> {
  const paths = Array.from({ length: STREAMS }, (_, i) => `/quotes/a-${i}`)
  const readings: StreamReading[] = []
  for (let i = 0; i < STREAMS; i += AT_ONCE) {
    readings.push(...await Promise.all(paths.slice(i, i + AT_ONCE).map(async (path, j) => await readStream(port(trial, RELAYING[j % RELAYING.length]!), { id: path, path, leaveAfter: 3 }))))
  }
  if (readings.some(({ last }) => last < 3)) throw new Error(`a stream didn't begin: ${JSON.stringify(readings)}`)
  return paths
}

async function takeUp (trial: Fleet, paths: readonly string[], attempt: number): Promise<ReadonlyMap<string, StreamReading>> {
  return new Map(await Promise.all(paths.map(async path => [path, await readStream(port(trial, LATE), { id: `${path}-${attempt}`, path, resumes: path, after: 3 })] as const)))
}

/** Takes up those that were refused until they go on; returns how many did. */
async function takeUpRefused (trial: Fleet, readings: ReadonlyMap<string, StreamReading>): Promise<number> {
  let refused = [...readings].filter(([, { whole }]) => !whole).map(([path]) => path)
  for (let attempt = 1; attempt <= RETRIES && refused.length > 0; attempt++) {
    await pause(RETRY_PAUSE)
    refused = [...await takeUp(trial, refused, attempt)].filter(([, { whole }]) => !whole).map(([path]) => path)
  }
  return readings.size - refused.length
}

function countWhole (readings: ReadonlyMap<string, StreamReading>): number {
  return [...readings.values()].filter(({ whole }) => whole).length
}

/** Lists the readings of those that neither ended whole nor were refused in time. */
function listUntold (readings: ReadonlyMap<string, StreamReading>, bound: number): readonly StreamReading[] {
  return [...readings.values()].filter(({ whole, status, time }) => !whole && (status !== 503 || time >= bound))
}

/** Counts, from now on, by what the late daemon decides where a stream goes on. */
function countDecisions ({ fleet }: Fleet): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {}
  fleet.daemons[LATE]!.child!.onLine(line => {
    const [, by] = line.includes('"resumes a stream"') ? /"by":"([^"]+)"/.exec(line) ?? [] : []
    if (by !== undefined) counts[by] = (counts[by] ?? 0) + 1
  })
  return counts
}

interface Outcome {
  /** Streams that began at the new version. */
  readonly began: number
  readonly mixed: readonly string[]
  readonly untold: readonly StreamReading[]
  readonly goneOn: number
}

const outcomes = new Map<string, Promise<Outcome>>()

/** Plays a release while the daemon is out of step, once for all tests of the row. */
async function playRelease (t: ExecutionContext, state: State, fate: Fate): Promise<Outcome> {
  const row = `${state}, ${fate}`
  if (!outcomes.has(row)) outcomes.set(row, play(t, state, fate))
  return await outcomes.get(row)!
}

async function play (t: ExecutionContext, state: State, fate: Fate): Promise<Outcome> {
  const trial = await start(t, state)
  const decided = countDecisions(trial)
  disturb(trial, state, 'begins')
  await release(trial)
  const paths = await beginStreams(trial)
  if (fate === 'are killed') for (const daemon of RELAYING) trial.fleet.daemons[daemon]!.child!.signal('SIGKILL')
  const taken = takeUp(trial, paths, 0)
  if (state === 'standing still') {
    await pause(STILL_TIME)
    disturb(trial, state, 'ends')
  }
  const readings = await taken
  if (state !== 'standing still') disturb(trial, state, 'ends')
  const began = trial.engines.filter(({ version }) => version === 'v2').flatMap(({ runs }) => runs.filter(({ path, resumedAfter }) => paths.includes(path) && resumedAfter === undefined)).length
  const goneOn = await takeUpRefused(trial, readings)
  const mixed = listMixedStreams(trial.engines)
  t.log({ began, whole: countWhole(readings), goneOn, decided, mixed: mixed.length })
  return { began, mixed, untold: listUntold(readings, PROMPT + (state === 'standing still' ? STILL_TIME : 0)), goneOn }
}

for (const state of ['in step', 'cut off from the store and the other daemons', 'cut off from the store', 'standing still'] satisfies State[]) {
  for (const fate of ['live', 'are killed'] satisfies Fate[]) {
    // Guards against streams of a new version that go on at the old one, taken up at a daemon that hasn't heard of the new one.
    test.serial(`a daemon ${state}, while servers of a new version join: streams whose daemons ${fate} go on there at the version that began them`, async t => {
      const { began, mixed, goneOn } = await playRelease(t, state, fate)
      t.true(began > 0)
      t.deepEqual(mixed, [])
      t.true(goneOn >= STREAMS / 2, `${goneOn} of ${STREAMS} went on`)
    })

    // Guards against callers that wait for a refusal of a stream whose version the daemon can't tell.
    test.serial(`a daemon ${state}, while servers of a new version join: streams whose daemons ${fate} and that can't go on are refused at once`, async t => {
      const { untold } = await playRelease(t, state, fate)
      t.deepEqual(untold, [])
    })
  }
}

// Guards against refusals of streams of a fleet's only version where the daemon that relayed them, or the store, can tell where they began.
const single: ReadonlyArray<readonly [State, Fate]> = [
  ['in step', 'are killed'],
  ['cut off from the store and the other daemons', 'are killed'],
  ['cut off from the store', 'are killed'],
  ['without the store, as all others', 'live'],
  ['without the store, as all others', 'are killed']
]
for (const [state, fate] of single) {
  test.serial(`a daemon ${state}, where all servers have one version: streams whose daemons ${fate} go on there once it is in step, and are refused at once before`, async t => {
    const trial = await start(t, state)
    const decided = countDecisions(trial)
    disturb(trial, state, 'begins')
    await pause(STILL_TIME)
    const paths = await beginStreams(trial)
    if (fate === 'are killed') for (const daemon of RELAYING) trial.fleet.daemons[daemon]!.child!.signal('SIGKILL')
    const readings = await takeUp(trial, paths, 0)
    if (state !== 'cut off from the store') disturb(trial, state, 'ends')
    const goneOn = await takeUpRefused(trial, readings)
    t.log({ whole: countWhole(readings), goneOn, decided, longest: Math.round(Math.max(...[...readings.values()].map(({ time }) => time))) })
    t.deepEqual(listUntold(readings, PROMPT), [])
    t.true(goneOn >= STREAMS / 2, `${goneOn} of ${STREAMS} went on`)
    if (fate === 'live') t.true(countWhole(readings) >= STREAMS / 2)
  })
}
