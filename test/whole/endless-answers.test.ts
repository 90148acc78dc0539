import test, { type ExecutionContext } from 'ava'
import { connect } from 'node:net'
import type { MachinesFleet } from '../../harness/machines-fleet.js'
import type { Flood } from '../helpers/flood.js'
import { callDaemon } from '../helpers/call-daemon.js'
import { startMachines } from '../helpers/start-machines.js'
import { ThreadedEngine } from '../helpers/threaded-engine.js'
import { ThreadedFlood } from '../helpers/threaded-flood.js'

const FLOODING_SERVERS = 4
const FLOODED_CALLERS = 8
const REQUESTS = 30
/** Time between two requests to sound servers, ms. */
const PERIOD = 60
/** The target of a first event and the length of a stream, ms; no flood is to be read for longer. */
const MAX_TIME = 1_000
/** Time budget of a flooded caller, ms. */
const TIME_BUDGET = 5_000
/** By how much an end may miss its time, ms. */
const SLACK = 300
/** Pause of a flooded caller between two requests, ms. */
const RETRY_DELAY = 50
const ROUTE = { host: 'desk.example', timeout_ms: 5_000, slo_ms: 300, priority: 0, attempts: 2, kind: 'streaming', resumable: true }
const CONFIGURATION = {
  routes: [{ ...ROUTE, name: 'quotes', path_prefix: '/quotes/', service: 'helm' }, { ...ROUTE, name: 'floods', path_prefix: '/floods/', service: 'floods' }],
  services: [{ name: 'helm' }, { name: 'floods' }]
}
const EVENT = 'id: 1\ndata: a\n\n'

const pause = async (time: number): Promise<void> => await new Promise(resolve => setTimeout(resolve, time))

const floods: ReadonlyArray<readonly [string, Flood]> = [
  ['events without data', { begin: 'events', text: ': more\n\n' }],
  ['an event that was sent before', { begin: 'events', text: EVENT }],
  ['events without an id', { begin: 'events', text: 'data: a\n\n' }],
  ['chunks of one byte', { begin: 'chunked events', text: '1\r\n:\r\n' }],
  ['empty lines', { begin: 'events', text: '\n' }],
  ['interim heads', { begin: 'nothing', text: 'HTTP/1.1 102 Processing\r\n\r\n' }],
  ['reports', { begin: 'nothing', text: 'HTTP/1.1 102 Processing\r\n\r\n', floodsReports: true }]
]

async function start (t: ExecutionContext, flood: Flood): Promise<{ readonly fleet: MachinesFleet<ThreadedEngine>, readonly flooding: readonly ThreadedFlood[] }> {
  const fleet = await startMachines(1, [0, 1].map(i => new ThreadedEngine({ id: `i-${i}`, slots: 64 })), {}, CONFIGURATION)
  t.teardown(async () => await fleet.stop())
  const flooding = Array.from({ length: FLOODING_SERVERS }, (_, i) => new ThreadedFlood(`f-${i}`, flood))
  t.teardown(() => { for (const server of flooding) server.stop() })
  await Promise.all(flooding.map(async server => {
    await server.start()
    fleet.store.put('servers', server.id, { service: 'floods', addr: `127.0.0.1:${server.port}`, zone: 'a', version: server.version, slots: 8, state: 'ready', cold_left_ms: 0, seq: 1, born: server.startedAt })
  }))
  return { fleet, flooding }
}

/** Sends a request whose answer is dropped; resolves with the time to its end, ms. */
async function askFlood (port: number, id: string): Promise<number> {
  const began = performance.now()
  return await new Promise(resolve => {
    const socket = connect(port, '127.0.0.1', () => { socket.write(`POST /floods/${id} HTTP/1.1\r\nhost: desk.example\r\nx-request-id: ${id}\r\nx-deadline-ms: ${TIME_BUDGET}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`) })
    socket.resume()
    socket.on('error', () => socket.destroy())
    socket.on('close', () => resolve(performance.now() - began))
  })
}

for (const [name, flood] of floods) {
  // Guards against a faulty server whose answers take a daemon's processor time, so that requests at sound servers are late.
  test.serial(`${name} without end: requests at sound servers are answered in time and the answers end`, async t => {
    const { fleet, flooding } = await start(t, flood)
    const { front } = fleet.daemons[0]!.ports
    const over = new AbortController()
    const floodTimes: number[] = []
    const flooded = Array.from({ length: FLOODED_CALLERS }, async (_, caller) => {
      for (let n = 0; !over.signal.aborted; n++) {
        floodTimes.push(await askFlood(front, `flood-${caller}-${n}`))
        await pause(RETRY_DELAY)
      }
    })
    const answers = await Promise.all(Array.from({ length: REQUESTS }, async (_, i) => {
      await pause((i + 1) * PERIOD)
      const began = performance.now()
      const { status, text } = await callDaemon(front, `/quotes/${i}`, { id: `quote-${i}` })
      return { time: performance.now() - began, isWhole: status === 200 && text.includes('id: 6\n') }
    }))
    over.abort()
    await Promise.all(flooded)
    const readTimes = (await Promise.all(flooding.map(async server => await server.listTimes()))).flat()
    t.log(`sound: max ${Math.round(Math.max(...answers.map(({ time }) => time)))} ms; flooded: ${floodTimes.length}, max ${Math.round(Math.max(...floodTimes))} ms; floods: ${readTimes.length}, max ${Math.round(Math.max(...readTimes))} ms`)
    t.is(answers.filter(({ isWhole, time }) => !isWhole || time > MAX_TIME).length, 0)
    t.is(readTimes.filter(time => time > MAX_TIME).length, 0)
    t.is(floodTimes.filter(time => time > TIME_BUDGET + SLACK).length, 0)
  })
}
