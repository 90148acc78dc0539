import test from 'ava'
import { mkdirSync, writeFileSync } from 'node:fs'
import { MachinesFleet } from '../../harness/machines-fleet.js'
import { PortAllocator } from '../../harness/port-allocator.js'
import { Random } from '../../src/kernel/random.js'
import { MixedCallers, type MixedStream } from '../helpers/mixed-callers.js'
import { MixedFaults } from '../helpers/mixed-faults.js'
import { startFleet } from '../helpers/start-fleet.js'
import { ThreadedEngine } from '../helpers/threaded-engine.js'
import { ThreadedStore } from '../helpers/threaded-store.js'

const EVENTS = 29
const PAUSE = 50 // ms
const DAEMONS = 6
const SERVERS = 10
const PERIOD = 32 // ms between two new streams
/** By hand: `MIXED_SECONDS=40 MIXED_SEED=7 npx ava test/whole/mixed-versions.test.ts`; logs of a run that fails, or of all with `MIXED_LOGS`, are kept in bench/out. */
const SECONDS = Number(process.env.MIXED_SECONDS ?? 8)
const SEED = Number(process.env.MIXED_SEED ?? 1)
const KEEPS_LOGS = process.env.MIXED_LOGS !== undefined
const OUT = 'bench/out'
const OK = 200

interface Play { readonly streams: readonly MixedStream[], readonly lines: readonly string[] }

async function createEngine (id: string, version: string, { isUnmarked, port }: { readonly isUnmarked: boolean, readonly port?: number }): Promise<ThreadedEngine> {
  const engine = new ThreadedEngine({ id, version, ...port !== undefined && { port }, events: EVENTS, pause: PAUSE, showsVersion: true })
  if (isUnmarked) await engine.leaveUnmarked()
  else await engine.readRuns()
  return engine
}

async function play (isUnmarked: boolean): Promise<Play> {
  const random = new Random(SEED)
  const allocator = new PortAllocator()
  // The system might give a port of its choice to another connection while no server listens there.
  const enginePorts = await allocator.claim(SERVERS)
  const engines = await Promise.all(enginePorts.map(async (port, i) => await createEngine(`i-${i}`, i % 2 === 0 ? 'v1' : 'v2', { isUnmarked, port })))
  const fleet = new MachinesFleet<ThreadedEngine, ThreadedStore>({ store: new ThreadedStore() })
  const logs: string[] = []
  const onDaemonStarted = (daemon: number): void => fleet.daemons[daemon]!.child!.onLine(line => logs.push(`daemon ${daemon}: ${line}`))
  try {
    await startFleet(fleet, { daemons: DAEMONS, engines })
    fleet.daemons.forEach((_, i) => onDaemonStarted(i))
    const faults = new MixedFaults({ fleet, random: new Random(SEED), createEngine: async (id, version) => await createEngine(id, version, { isUnmarked }), onDaemonStarted })
    const callers = new MixedCallers({ ports: fleet.daemons.map(({ ports }) => ports.front), random, events: EVENTS })
    const end = performance.now() + SECONDS * 1_000
    await Promise.all([callers.run(PERIOD, end), faults.run(end)])
    return { streams: callers.streams, lines: [...faults.lines, ...logs] }
  } finally {
    await fleet.stop()
    allocator.release(enginePorts)
  }
}

function isJoined ({ versions }: MixedStream): boolean {
  return new Set(versions).size > 1
}

function isOutOfOrder ({ ids }: MixedStream): boolean {
  return ids.some((id, i) => id !== i + 1)
}

function isEndedEarly ({ end, ids }: MixedStream): boolean {
  return end === 'whole' && ids.length < EVENTS
}

interface Counts { readonly begun: number, readonly takenUp: number, readonly goneOn: number }

/** Counts the streams that began, those that were taken up elsewhere after that, and those of them that went on. */
function countStreams (streams: readonly MixedStream[]): Counts {
  const takenUp = streams.filter(({ statuses, resumed }) => statuses.length > resumed)
  return {
    begun: streams.filter(({ statuses }) => statuses.includes(OK)).length,
    takenUp: takenUp.length,
    goneOn: takenUp.filter(({ statuses, resumed }) => statuses.slice(resumed).includes(OK)).length
  }
}

for (const framing of ['chunked', 'unmarked'] as const) {
  // Guards against streams of two versions where entries, processes, daemons and the store are each at another stage.
  test.serial(`under mixed faults, ${framing} streams hold all events of one version`, async t => {
    t.timeout((SECONDS + 60) * 1_000)
    const { streams, lines } = await play(framing === 'unmarked')
    const bad = { joined: streams.filter(isJoined), 'out of order': streams.filter(isOutOfOrder), 'ended early': streams.filter(isEndedEarly) }
    const { begun, takenUp, goneOn } = countStreams(streams)
    const whole = streams.filter(({ end }) => end === 'whole').length
    t.log(`seed ${SEED}, ${SECONDS} s: ${streams.length} streams, ${whole} whole, ${Object.entries(bad).map(([name, list]) => `${list.length} ${name}`).join(', ')}; ${begun} began, ${goneOn} of ${takenUp} that were taken up went on`)
    if (KEEPS_LOGS || Object.values(bad).some(({ length }) => length > 0)) {
      mkdirSync(OUT, { recursive: true })
      writeFileSync(`${OUT}/mixed-versions-${framing}-${SEED}.log`, [...Object.entries(bad).map(entry => JSON.stringify(entry)), ...streams.map(stream => JSON.stringify(stream)), ...lines].join('\n'))
    }
    t.deepEqual(Object.values(bad).flat().map(({ path }) => path), [])
    t.true(goneOn / takenUp >= begun / streams.length / 2)
  })
}
