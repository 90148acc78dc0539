import test from 'ava'
import { request } from 'node:http'
import { EventEngine } from '../../stand-ins/machines/event-engine.js'
import { callDaemon } from '../helpers/call-daemon.js'
import { startMachines } from '../helpers/start-machines.js'

const DAEMONS = 6
const EVENTS = 40
const PAUSE = 20 // ms
const STREAMS = 20
/** Factor by which a server is slower than its daemon waits for a first event. */
const SILENCE = 250
/** Time within which a daemon has written its records, ms. */
const WRITE_TIME = 200
/** Events after which a caller leaves. */
const SEEN = 3

/** Begins a stream and leaves after some events. Returns whether there were as many. */
async function begin (port: number, path: string): Promise<boolean> {
  return await new Promise((resolve, reject) => {
    const sent = request({ port, path, method: 'POST', agent: false, headers: { host: 'desk.example', 'x-request-id': path, 'x-deadline-ms': '5000' } }, answer => {
      let text = ''
      answer.on('data', (bytes: Buffer) => {
        text += bytes.toString()
        if (text.split('\n\n').length <= SEEN) return
        sent.destroy()
        resolve(true)
      })
      answer.on('close', () => resolve(false))
      answer.on('error', () => resolve(false))
    })
    sent.on('error', reject)
    sent.end('x')
  })
}

// Guards against a daemon that takes the version where a stream was expected to begin for the one that began it.
test('streams whose first server is silent, and that begin at another version, go on at that one at every daemon', async t => {
  const [old, silent] = [new EventEngine({ id: 'i-0', version: 'v1', events: EVENTS, pause: PAUSE, slots: 64 }), new EventEngine({ id: 'i-1', version: 'v2', events: EVENTS, pause: PAUSE, slots: 64 })]
  const fleet = await startMachines(DAEMONS, [old, silent])
  t.teardown(async () => await fleet.stop())
  const ports = fleet.daemons.map(({ ports: { front } }) => front)
  const all = Array.from({ length: STREAMS }, (_, i) => `/quotes/${i}`)
  silent.slowdown = SILENCE
  const begun = Promise.all(all.map(async path => await begin(ports[0]!, path)))
  await fleet.waitUntil('all run', () => old.runs.length + silent.runs.length >= STREAMS)
  await new Promise(resolve => setTimeout(resolve, WRITE_TIME))
  // Resumptions of other streams, for which the other daemons read the store.
  await Promise.all(ports.slice(1).map(async (port, i) => await callDaemon(port, '/quotes/other', { id: `other-${i}`, headers: { 'last-event-id': '1', resumes: 'unknown' } }).catch(() => {})))
  const areBegun = await begun
  const paths = all.filter((_, i) => areBegun[i])
  t.true(silent.runs.some(({ path }) => paths.includes(path)))
  silent.slowdown = 1
  const answers = await Promise.all(paths.flatMap(path => ports.slice(1).map(async (port, i) => await callDaemon(port, path, { id: `${path}-${i}`, headers: { 'last-event-id': String(SEEN), resumes: path } }))))
  const gone = new Set(silent.runs.filter(({ resumedAfter }) => resumedAfter !== undefined).map(({ path }) => path))
  t.deepEqual(old.runs.filter(({ path, resumedAfter, events }) => resumedAfter === undefined && events > 0 && gone.has(path)).map(({ path }) => path), [])
  t.true(answers.some(({ status }) => status === 200))
})
