import test from 'ava'
import { callDaemon } from '../helpers/call-daemon.js'
import { startMachines } from '../helpers/start-machines.js'
import { ThreadedEngine } from '../helpers/threaded-engine.js'

const STREAMS = 8
const EVENTS = 150
const PAUSE = 10 // ms
/** How long the daemon stands still, ms: longer than a begun stream waits for its next event, and much shorter than a deadline. */
const STILL_TIME = 800

// Guards against streams that a daemon takes from servers whose events arrived while it stood still itself.
test('a daemon stands still while it relays streams: they go on at their servers', async t => {
  const engines = ['i-1', 'i-2'].map(id => new ThreadedEngine({ id, events: EVENTS, pause: PAUSE, slots: 2 * STREAMS }))
  const fleet = await startMachines(1, engines)
  t.teardown(async () => await fleet.stop())
  const { child, ports: { front } } = fleet.daemons[0]!
  const lines: string[] = []
  child!.onLine(line => lines.push(line))
  t.teardown(() => { if (!t.passed) t.log(lines.join('\n')) })
  const readRuns = async (): Promise<ReadonlyArray<Awaited<ReturnType<ThreadedEngine['readRuns']>>[number]>> => (await Promise.all(engines.map(async engine => await engine.readRuns()))).flat()
  const answers = Promise.all(Array.from({ length: STREAMS }, async (_, i) => await callDaemon(front, `/quotes/${i}`)))
  await fleet.waitUntil('all streams have begun', async () => (await readRuns()).filter(({ events }) => events > 0).length === STREAMS)
  child!.signal('SIGSTOP')
  await new Promise(resolve => setTimeout(resolve, STILL_TIME))
  child!.signal('SIGCONT')
  t.true((await answers).every(({ text }) => text.includes(`id: ${EVENTS}\n`)))
  t.is((await readRuns()).length, STREAMS)
})
