import test from 'ava'
import { EventEngine } from '../../stand-ins/machines/event-engine.js'
import { readRawAnswer } from '../helpers/read-raw-answer.js'
import { startMachines } from '../helpers/start-machines.js'

const EVENTS = 40
const PAUSE = 25 // ms
const STREAMS = 8

// Guards against a part of an answer that looks whole because the system closes the connections of a killed daemon regularly.
for (const [name, unmarkedRuns] of [['in chunks', 0], ['with neither a length nor chunks', Infinity]] as const) {
  test.serial(`streams of a killed daemon whose servers answer ${name} don't look complete`, async t => {
    const engine = new EventEngine({ id: 'i-0', events: EVENTS, pause: PAUSE, slots: STREAMS })
    engine.unmarkedRuns = unmarkedRuns
    const fleet = await startMachines(1, [engine])
    t.teardown(async () => await fleet.stop())
    const [daemon] = fleet.daemons
    const paths = Array.from({ length: STREAMS }, (_, n) => `/quotes/${n}`)
    const answers = Promise.all(paths.map(async path => await readRawAnswer(daemon!.ports.front, path, { host: 'desk.example', 'x-request-id': path, 'x-deadline-ms': '5000' })))
    await fleet.waitUntil('all streams have begun', () => engine.runs.filter(({ events }) => events > 2).length === STREAMS)
    daemon!.child!.signal('SIGKILL')
    const readings = await answers
    t.true(readings.every(({ status, body }) => status === 200 && body.includes('id: 1\n')))
    t.deepEqual(readings.filter(({ isComplete }) => isComplete), [])
  })
}
