import test from 'ava'
import { EventEngine } from '../../stand-ins/machines/event-engine.js'
import { registerEngine } from '../../stand-ins/machines/register-engine.js'
import { listMixedStreams } from '../helpers/list-mixed-streams.js'
import { readStream } from '../helpers/read-stream.js'
import { startMachines } from '../helpers/start-machines.js'

// Guards against streams without a record that go on at the default version after the end of all daemons, though an outage kept theirs from the store.

const STREAMS = 24
const [EVENTS, PAUSE, LEAVE_AFTER] = [30, 40, 3]
/** Time between the beginnings of two streams, ms. */
const GAP = 40

interface Case { readonly name: string, readonly fault: object, /** When the store is back, ms after the kill; negative before it. */ readonly backAfter: number, readonly isDefaultGone?: boolean }

const cases: readonly Case[] = [
  { name: 'silent', fault: { down: 'silent' }, backAfter: 300 },
  { name: 'busy', fault: { down: 'busy' }, backAfter: 300 },
  { name: 'limited', fault: { down: 'limited' }, backAfter: 300 },
  { name: 'losing its answers', fault: { losesReplies: true }, backAfter: 300 },
  { name: 'silent until right before the kill', fault: { down: 'silent' }, backAfter: -50 },
  { name: 'silent, the default version gone before and back', fault: { down: 'silent' }, backAfter: 300, isDefaultGone: true }
]

function create (id: string, version: string): EventEngine {
  return new EventEngine({ id, version, events: EVENTS, pause: PAUSE, slots: 64 })
}

async function wait (time: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, time))
}

for (const { name, fault, backAfter, isDefaultGone = false } of cases) {
  test.serial(`streams that begin while the store is ${name} go on at the version that began them after a kill of all daemons, or are refused`, async t => {
    const engines = [create('a-0', 'v1'), create('a-1', 'v1')]
    const fleet = await startMachines(3, engines)
    t.teardown(async () => { await fleet.stop() })
    const port = (n: number): number => fleet.daemons[n % 3]!.ports.front
    await fleet.waitUntil('v1 is the default', () => fleet.store.objects.read('stream-origins', 'defaults') !== undefined)
    const added = [create('b-0', 'v2'), create('b-1', 'v2')]
    for (const engine of added) {
      await engine.start()
      fleet.engines.push(engine)
      registerEngine(fleet.store, engine)
    }
    if (isDefaultGone) for (const engine of engines) fleet.store.remove('servers', engine.id)
    await wait(isDefaultGone ? 6_000 : 1_000)
    fleet.store.faults = fault
    await wait(300)
    const readings = await Promise.all(Array.from({ length: STREAMS }, async (_, n) => {
      await wait(n * GAP)
      return await Promise.race([readStream(port(n), { id: `s${n}`, path: `/quotes/s${n}`, leaveAfter: LEAVE_AFTER }), wait(2_000)])
    }))
    const begun = readings.flatMap((reading, n) => reading?.last === LEAVE_AFTER ? [n] : [])
    if (backAfter < 0) fleet.store.faults = {}
    await wait(Math.max(0, -backAfter))
    for (const { child } of fleet.daemons) child!.signal('SIGKILL')
    await Promise.all(fleet.daemons.map(async ({ child }) => await child!.waitForExit()))
    if (isDefaultGone) for (const engine of engines) registerEngine(fleet.store, engine)
    await Promise.all([wait(Math.max(0, backAfter)).then(() => { fleet.store.faults = {} }), ...fleet.daemons.map(async daemon => await fleet.startDaemon(daemon))])
    await fleet.waitUntil('servers are known', async () => (await readStream(port(1), { id: 'new', path: '/quotes/new' })).whole)
    const resumed = await Promise.all(begun.map(async n => await readStream(port(n + 1), { id: `s${n}-b`, path: `/quotes/s${n}`, resumes: `s${n}`, after: LEAVE_AFTER })))
    t.log({ begun: begun.length, whole: resumed.filter(({ whole }) => whole).length })
    t.deepEqual(listMixedStreams(fleet.engines), [])
    t.true(resumed.every(({ whole, status }) => whole || status === 503))
    t.true(begun.length >= STREAMS / 2, `${begun.length} of ${STREAMS} began`)
    if (!isDefaultGone) t.true(resumed.filter(({ whole }) => whole).length >= begun.length / 2)
  })
}
