// Case 7: streams that clients take up again, while servers of two software versions serve, after the end of all processes in an outage of the store.
import { writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { EventEngine } from '../../stand-ins/machines/event-engine.ts'
import { ObjectApi } from '../../stand-ins/machines/object-api.ts'
import { registerEngine } from '../../stand-ins/machines/register-engine.ts'
import { ask, Deployment, HOST, sleep } from '../lib-2/fleet.mjs'

const [file] = process.argv.slice(2)
const hasTrouble = process.env.TROUBLE !== '0'
const [STREAMS, EVENTS, PAUSE] = [24, 31, 80]
/** Time budget of a request, ms (Clearplate's sheet). */
const BUDGET = 5_000
const record = []
const write = (what, detail = {}) => { record.push(JSON.stringify({ at: Math.round(performance.now()), what, ...detail })) }

/** Sends one attempt of a stream; resolves with the events that arrived and whether the answer was whole. */
async function openStream (port, { id, left, resumes, after }) {
  return await new Promise(resolve => {
    const events = []
    let [status, text] = [0, '']
    const end = isWhole => resolve({ status, events, isWhole })
    const headers = { host: HOST, 'x-request-id': id, 'x-deadline-ms': String(left), 'x-model': 'm', 'x-token-count': '250,100', 'x-prompt-prefix': `a1:200,${id}:50`, 'content-length': 2, ...resumes !== undefined && { resumes, 'last-event-id': String(after) } }
    const sent = request({ host: '127.0.0.1', port, method: 'POST', path: '/checks/dish', agent: false, headers }, answer => {
      status = answer.statusCode
      answer.on('data', bytes => {
        text += String(bytes)
        for (let at = text.indexOf('\n\n'); at >= 0; at = text.indexOf('\n\n')) {
          const [, n, version] = /^id: (\d+)\ndata: .* of (\w+)$/.exec(text.slice(0, at)) ?? []
          if (n !== undefined) events.push({ n: Number(n), version })
          text = text.slice(at + 2)
        }
      })
      answer.on('end', () => end(answer.complete))
      answer.on('close', () => end(false))
    })
    sent.setTimeout(left, () => sent.destroy())
    sent.on('error', () => end(false))
    sent.end('{}')
  })
}

/** Asks the daemons that serve the directory, in turn, where to connect; resolves with an address, undefined where the time is over. */
async function lookUp (fleet, n, deadline) {
  for (let at = n; performance.now() < deadline; at++) {
    const { status, text } = await ask(fleet.daemons[at % fleet.daemons.length].ports.directory, { path: `/api/lookup?name=${HOST}&region=midlands&zone=derby-hall`, timeout: 1_000 })
    const { addrs = [] } = status === 200 ? JSON.parse(text) : {}
    if (addrs.length > 0) return Number(addrs[n % addrs.length].split(':')[1])
    await sleep(100)
  }
}

/** A client: one stream, taken up again once after a broken channel (Clearplate's sheet: one retry), within its time budget. */
async function runClient (fleet, n) {
  const id = `s${String(n).padStart(15, '0')}`
  const deadline = performance.now() + BUDGET
  const first = await openStream(await lookUp(fleet, n, deadline), { id, left: BUDGET })
  const answers = [first]
  if (!first.isWhole && first.events.length > 0) {
    const port = await lookUp(fleet, n, deadline)
    if (port !== undefined) answers.push(await openStream(port, { id: `${id}-1`, left: Math.round(deadline - performance.now()), resumes: id, after: first.events.at(-1).n }))
  }
  const events = answers.flatMap(answer => answer.events)
  return { id, statuses: answers.map(({ status }) => status), versions: [...new Set(events.map(({ version }) => version))], events: events.length, isWhole: answers.at(-1).isWhole && events.length === EVENTS && events.every(({ n }, i) => n === i + 1) }
}

async function main () {
  const store = new ObjectApi()
  await store.start()
  const create = (id, version) => new EventEngine({ id, version, slots: 8, events: EVENTS, pause: PAUSE, showsVersion: true })
  const engines = ['i-0', 'i-1', 'i-2'].map(id => create(id, 'v1'))
  const fleet = new Deployment({ store, storePort: store.port, engines, count: 3 })
  try {
    await fleet.start()
    await sleep(4_000)
    // The release: the new servers are there, the old ones serve on.
    for (const id of ['i-3', 'i-4', 'i-5']) {
      const engine = create(id, 'v2')
      await engine.start()
      engines.push(engine)
      registerEngine(store, engine, { service: 'label' })
    }
    await sleep(2_000)
    if (hasTrouble) store.faults = { down: 'silent' }
    write('the store', store.faults)
    await sleep(500)
    const clients = Promise.all(Array.from({ length: STREAMS }, async (_, n) => await runClient(fleet, n)))
    await sleep(1_200)
    if (hasTrouble) {
      await fleet.killAll()
      write('all processes were killed')
      await Promise.all([fleet.startAll().catch(error => write('start', { error: error.message })), sleep(300).then(() => { store.faults = {} })])
      write('all processes and the store are back')
    }
    const streams = await clients
    for (const stream of streams) write('stream', stream)
    for (const { id, version, runs } of engines) for (const run of runs) write('ran', { server: id, version, id: run.id, resumedAfter: run.resumedAfter, events: run.events, outcome: run.outcome })
    const mixed = streams.filter(({ versions }) => versions.length > 1).length
    write('result', { streams: streams.length, mixed, whole: streams.filter(({ isWhole }) => isWhole).length })
    return mixed > 2 ? 1 : 0
  } finally {
    await fleet.stop()
    store.stop()
  }
}

process.once('SIGTERM', () => process.exit(2))
main().catch(error => {
  write('could not run', { error: error.stack })
  return 2
}).then(code => {
  writeFileSync(file, `${record.join('\n')}\n`)
  process.stdout.write(`${record.at(-1)}\n`)
  process.exit(code)
})
