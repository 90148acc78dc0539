import { request } from 'node:http'
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { pause, runCase } from '../lib/fleet.mjs'

const HOST = 'desk.example'
const EVENTS = 29
/** The sheet: 31.7 requests a second, 5,000 ms for each. */
const INTERVAL = 32
const BUDGET = 5000
const TIME = 12000
/** node_kill: one process of six is killed, and is back after this long, ms. */
const DAEMONS = 6
const KILL_AT = 5000
const BACK_AFTER = 3000

const folder = dirname(fileURLToPath(import.meta.url))

/** Sends a request and reads its answer. `isWhole`: it ended as HTTP/1.1 says that a complete answer does, without an error. */
function sendStream (address, id) {
  return new Promise(resolve => {
    const result = { status: 0, isWhole: false, text: '' }
    const sent = request(`http://${address}/quotes/${id}`, {
      method: 'POST',
      agent: false,
      headers: { host: HOST, 'x-request-id': id, 'x-deadline-ms': String(BUDGET), 'x-model': 'm', 'x-token-count': '450,200', 'x-prompt-prefix': `5c1e07a2:200,${id}:250`, 'content-length': 7 }
    }, res => {
      result.status = res.statusCode
      result.stamp = res.headers['x-response-stamp']
      result.framing = res.headers['transfer-encoding'] ?? (res.headers['content-length'] === undefined ? 'connection' : 'length')
      res.on('data', chunk => { result.text += chunk })
      res.on('error', () => {})
      res.on('end', () => { result.isWhole = res.complete })
      res.on('close', () => resolve(result))
    })
    const timer = setTimeout(() => sent.destroy(), BUDGET)
    sent.on('error', error => {
      result.error = error.code
      resolve(result)
    })
    sent.on('close', () => clearTimeout(timer))
    sent.end('a quote')
  })
}

await runCase(folder, async (fleet, hasTrouble) => {
  await fleet.startStore()
  await fleet.putConfiguration({
    version: 1,
    routes: [{ name: 'quotes', host: HOST, path_prefix: '/quotes/', kind: 'streaming', timeout_ms: 5000, slo_ms: 300, gap_slo_ms: 200, priority: 0, service: 'helm', attempts: 2, sticky: true, resumable: true }],
    services: [{ name: 'helm', health_path: '/health', max_conns: 230 }],
    limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 }
  })
  for (let i = 0; i < 8; i++) await fleet.addServer({ id: `i-${i}`, firstMs: 60, pauseMs: 25, events: EVENTS, framing: 'connection' })
  for (let i = 0; i < DAEMONS; i++) await fleet.addDaemon(i)
  await pause(2000)
  const began = Date.now()
  const answers = []
  let isKilled = !hasTrouble
  for (let n = 0; Date.now() - began < TIME; n++) {
    const daemon = fleet.daemons[n % DAEMONS]
    const id = `9c41d07be2${(n + 4096).toString(16)}`
    if (daemon.child.ended === undefined) answers.push(sendStream(daemon.front, id).then(result => ({ id, daemon: daemon.index, ...result })))
    if (!isKilled && Date.now() - began >= KILL_AT) {
      isKilled = true
      fleet.record({ type: 'killed', daemon: 0 })
      fleet.daemons[0].child.kill('SIGKILL')
      setTimeout(() => fleet.startDaemon(fleet.daemons[0]).catch(() => {}), BACK_AFTER)
    }
    await pause(INTERVAL)
  }
  const broken = []
  for (const { text, ...answer } of await Promise.all(answers)) {
    const pieces = text.split('\n\n').filter(event => event !== '')
    fleet.record({ type: 'answered', ...answer, pieces: pieces.length })
    const isRight = pieces.every((event, n) => event === `id: ${n + 1}\ndata: ${answer.id} piece ${n + 1}`)
    if (answer.status === 200 && answer.isWhole && (pieces.length < EVENTS || !isRight)) broken.push(`MIXED: request ${answer.id} has a complete answer (200, ${answer.stamp}, ended by its ${answer.framing}) with ${pieces.length} of ${EVENTS} pieces`)
  }
  return broken
})
