import test, { type ExecutionContext } from 'ava'
import type { Socket } from 'node:net'
import { EventEngine } from '../../stand-ins/machines/event-engine.js'
import { callDaemon } from '../helpers/call-daemon.js'
import { createWireConfiguration } from '../helpers/create-wire-configuration.js'
import { RawServer } from '../helpers/raw-server.js'
import { startMachines } from '../helpers/start-machines.js'

// Guards against answers that no server can have meant: their callers get them, or items and jobs count them.

const REQUESTS = 12
const EVENTS = 5
/** Bytes that a connection doesn't take without its peer. */
const UPLOAD = 4_000_000
const ROUTE = { host: 'desk.example', timeout_ms: 5_000, slo_ms: 300, priority: 0, service: 'helm', attempts: 2 }
const CONFIGURATION = { routes: [...(createWireConfiguration(1) as { readonly routes: readonly object[] }).routes, { ...ROUTE, name: 'tides', path_prefix: '/tides/', kind: 'safe' }, { ...ROUTE, name: 'bookings', path_prefix: '/bookings/', kind: 'once' }] }
const BORN = 1_700_000_000_000
const REPORT = JSON.stringify({ born: BORN })
const SOUND_REPORT = `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: ${REPORT.length}\r\n\r\n${REPORT}`
const PART = 'id: 1\ndata: part of another answer\n\n'

type Answer = (socket: Socket, id: string) => void

function answerStatus (status: string, type: string): Answer {
  return (socket, id) => { socket.write(`HTTP/1.1 ${status}\r\ncontent-type: ${type}\r\nx-request-id: ${id}\r\ncontent-length: ${PART.length}\r\n\r\n${PART}`) }
}

/** Answers at once, reads nothing more, and resets the connection while the request is being written. */
function cutUpload (type: string): Answer {
  return (socket, id) => {
    socket.pause()
    socket.write(`HTTP/1.1 200 OK\r\ncontent-type: ${type}\r\nx-request-id: ${id}\r\n\r\n${PART}`, () => setTimeout(() => socket.resetAndDestroy(), 5))
  }
}

async function start (t: ExecutionContext, answer: Answer, answerReport: (socket: Socket) => void = socket => socket.write(SOUND_REPORT)): Promise<{ readonly front: number, readonly engine: EventEngine, readonly fleet: Awaited<ReturnType<typeof startMachines>>, readonly faulty: RawServer }> {
  const engine = new EventEngine({ id: 'i-0', events: EVENTS, pause: 5, slots: 64 })
  const faulty = await RawServer.start((socket, text) => {
    if (text.includes('/api/report')) answerReport(socket)
    else if (/^(POST|GET) /.test(text)) answer(socket, /x-request-id: (.*)\r\n/i.exec(text)?.[1] ?? '')
  })
  const fleet = await startMachines(1, [engine], {}, CONFIGURATION)
  t.teardown(async () => {
    await fleet.stop()
    faulty.close()
  })
  fleet.store.put('servers', 'i-1', { service: 'helm', addr: `127.0.0.1:${faulty.port}`, zone: 'a', version: 'v1', slots: 8, state: 'ready', cold_left_ms: 0, seq: 1, born: BORN })
  await new Promise(resolve => setTimeout(resolve, 500))
  return { front: fleet.daemons[0]!.ports.front, engine, fleet, faulty }
}

const answers: ReadonlyArray<readonly [string, (type: string) => Answer, number]> = [
  ...['000 OK', '099 OK', '600 OK', '999 OK'].map(status => [`of status ${status}`, (type: string) => answerStatus(status, type), 2] as const),
  ['that are reset during the upload', cutUpload, UPLOAD]
]
const kinds: ReadonlyArray<readonly [string, string]> = [['tides', 'text/plain'], ['bookings', 'text/plain'], ['quotes', 'text/event-stream'], ['berths', 'text/event-stream']]

/** Sends requests one after another: an answer that ends before its time is broken off, as its caller sees. */
async function ask (port: number, kind: string, length: number): Promise<ReadonlyArray<{ readonly status: number, readonly text: string }>> {
  const all = []
  for (let n = 0; n < REQUESTS; n++) all.push(await callDaemon(port, `/${kind}/${n}`, { body: 'x'.repeat(length - 2) }).catch(() => ({ status: 0, text: '' })))
  return all
}

for (const [name, create, length] of answers) {
  for (const [kind, type] of kinds) {
    test.serial(`answers ${name} reach no caller of ${kind}`, async t => {
      const { front, faulty } = await start(t, create(type))
      const all = await ask(front, kind, length)
      t.log(all.map(({ status }) => status).join(' '))
      t.deepEqual(all.filter(({ status }) => ![0, 200, 502, 503, 504].includes(status)), [])
      t.deepEqual(all.filter(({ status, text }) => status === 200 && text.split('\n\n').length !== EVENTS + 1).map(({ text }) => text.slice(0, 100)), [])
      t.true(faulty.requests.some(({ text }) => text.startsWith('POST')))
    })
  }

  for (const type of ['text/event-stream', 'text/plain']) {
    test.serial(`answers ${name}, ${type}, end no item`, async t => {
      const { front, fleet, faulty } = await start(t, create(type))
      const items = Array.from({ length: REQUESTS }, (_, n) => ({ id: `item-${n}`, path: `/drafts/${n}`, headers: {}, body: 'eA=='.repeat(length === UPLOAD ? 60_000 : 1), tokens: 1 }))
      t.is((await callDaemon(front, '/drafts/', { id: 'job', body: { items } })).status, 202)
      const read = async (): Promise<ReadonlyArray<{ readonly state: string, readonly text: string }>> => {
        const { status, text } = await callDaemon(front, '/api/lots/job?after=0', { method: 'GET' })
        return status === 200 ? JSON.parse(text).results : []
      }
      await fleet.waitUntil('all are listed', async () => (await read()).length === REQUESTS)
      for (const { state, text } of await read()) t.deepEqual([state, text.split('\n').length], ['completed', EVENTS])
      t.true(faulty.requests.some(({ text }) => text.startsWith('POST')))
    })
  }
}

const reports: ReadonlyArray<readonly [string, string]> = [
  ['status 000', SOUND_REPORT.replace('200 OK', '000 OK')],
  ['status 999', SOUND_REPORT.replace('200 OK', '999 OK')]
]

for (const [name, report] of reports) {
  test.serial(`no request is sent on a connection whose report has ${name}`, async t => {
    const { front, faulty } = await start(t, answerStatus('200 OK', 'text/plain'), socket => socket.write(report))
    const all = await ask(front, 'quotes', 2)
    t.deepEqual(all.map(({ status }) => status), all.map(() => 200))
    t.true(faulty.requests.length > 0)
    t.deepEqual(faulty.requests.filter(({ text }) => text.startsWith('POST')), [])
  })
}
