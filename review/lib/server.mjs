// A stand-in for one model server (PROTOCOL.md): registers itself in the store, runs `slots` requests at once, streams numbered events,
// goes on at `Last-Event-Id`, expects its own instance, and writes a line for each run to standard output.
// The argument is a JSON object: id, port, store, service, zone, version, slots, queue, firstMs, pauseMs, events, framing, beatMs, firstBeatMs
// (how long after its start it writes its entry first) and voice (added to each event's data).
import { createServer, request } from 'node:http'

const options = { service: 'helm', zone: 'a', slots: 8, queue: 24, firstMs: 50, pauseMs: 10, events: 20, framing: 'chunks', beatMs: 1200, version: 'v1', ...JSON.parse(process.argv[2]) }
const { id, port, store, service, zone, slots, queue, firstMs, pauseMs, events, framing, beatMs, version } = options
const born = Date.now()
const waiting = []
let running = 0
let seq = 1

const say = line => process.stdout.write(`${JSON.stringify({ at: Date.now(), server: id, ...line })}\n`)
const pause = time => new Promise(resolve => setTimeout(resolve, time))

/** The data of event `n` of a request, which any server of a service gives alike. */
const dataOf = (request, n) => `${request} piece ${n}${options.voice ?? ''}`

function call (method, path, body) {
  return new Promise(resolve => {
    const text = body === undefined ? '' : JSON.stringify(body)
    const sent = request(`http://${store}${path}`, { method, headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }, timeout: 1000 }, res => {
      const chunks = []
      res.on('data', chunk => chunks.push(chunk))
      res.on('end', () => resolve({ status: res.statusCode, body: JSON.parse(Buffer.concat(chunks).toString() || '{}') }))
      res.on('error', () => resolve({ status: 0 }))
    })
    sent.on('timeout', () => sent.destroy())
    sent.on('error', () => resolve({ status: 0 }))
    sent.end(text)
  })
}

async function beat () {
  const spec = { service, addr: `127.0.0.1:${port}`, zone, version, slots, state: 'ready', cold_left_ms: 0, seq: seq++, born }
  const made = await call('POST', '/api/objects/servers', { metadata: { name: id }, spec })
  if (made.status === 409) await call('PUT', `/api/objects/servers/${id}`, { metadata: { name: id }, spec })
}

function refuse (res, status, headers) {
  res.writeHead(status, { 'content-type': 'application/json', 'content-length': 2, ...headers })
  res.end('{}')
}

async function takeSlot (res) {
  if (running < slots) {
    running++
    return true
  }
  if (waiting.length >= queue) return false
  await new Promise(resolve => {
    waiting.push(resolve)
    res.once('close', () => {
      const at = waiting.indexOf(resolve)
      if (at >= 0) {
        waiting.splice(at, 1)
        resolve()
      }
    })
  })
  return true
}

function freeSlot () {
  running--
  const next = waiting.shift()
  if (next !== undefined) {
    running++
    next()
  }
}

async function run (req, res, body) {
  const { 'x-request-id': request, 'x-expect-instance': expected, 'last-event-id': resume } = req.headers
  if (expected !== undefined && expected !== id) return refuse(res, 421, { 'x-instance-id': id })
  if (running >= slots && waiting.length >= queue) return refuse(res, 503, { 'x-not-executed': '1' })
  await takeSlot(res)
  if (res.destroyed) return
  const after = resume === undefined ? 0 : Number(resume)
  const line = { request, path: req.url, after, body: body.length }
  say({ type: 'began', ...line })
  let last = after
  res.once('close', () => {
    freeSlot()
    say({ type: 'ended', ...line, last, whole: last >= events })
  })
  const head = { 'content-type': 'text/event-stream', 'x-request-id': request, 'x-response-stamp': `stamp-${id}` }
  if (framing === 'connection') {
    // Neither a length nor chunks: the answer ends with its channel.
    res.shouldKeepAlive = false
    res.useChunkedEncodingByDefault = false
    res.removeHeader('transfer-encoding')
    res.writeHead(200, { ...head, connection: 'close' })
  } else res.writeHead(200, head)
  res.flushHeaders()
  if (after < events) await pause(firstMs)
  while (last < events && !res.destroyed) {
    last++
    res.write(`id: ${last}\ndata: ${dataOf(request, last)}\n\n`)
    await pause(pauseMs)
  }
  if (!res.destroyed) res.end()
}

const server = createServer((req, res) => {
  const chunks = []
  req.on('data', chunk => chunks.push(chunk))
  req.on('error', () => {})
  req.on('end', () => {
    if (req.url === '/health') return refuse(res, 200, { 'x-instance-id': id })
    if (req.url === '/api/report') return refuse(res, 200, {})
    run(req, res, Buffer.concat(chunks)).catch(error => say({ type: 'error', error: String(error) }))
  })
})
server.keepAliveTimeout = 5000
server.listen(port, '127.0.0.1', async () => {
  if (options.firstBeatMs !== undefined) await pause(options.firstBeatMs)
  await beat()
  setInterval(beat, beatMs)
})
process.on('SIGTERM', () => process.exit(0))
