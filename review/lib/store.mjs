// A stand-in for the platform's metadata store (PROTOCOL.md): objects by kind and name, revisions, pages, watches.
// Control, for the script alone: PUT /control with the faults in force as JSON; see `faults`.
import { createServer } from 'node:http'

const PAGE = 500
const PATH = /^\/api\/objects\/([^/?]+)(?:\/([^/?]+))?(\/status)?$/

/** `delay`: ms before each answer; `down`: 'busy' (503), 'limited' (429) or 'silent', for the daemons in `only` or for all. */
let faults = {}
let revision = 100
const kinds = new Map()
const history = []
const watchers = new Set()

const kindOf = kind => kinds.get(kind) ?? kinds.set(kind, new Map()).get(kind)

function change (kind, name, object) {
  revision++
  if (object === undefined) kindOf(kind).delete(name)
  else kindOf(kind).set(name, { ...object, metadata: { ...object.metadata, name, revision, finalizers: [], deleting: false } })
  history.push({ kind, revision, name, tombstone: object === undefined, object: object === undefined ? { metadata: { name, revision } } : kindOf(kind).get(name) })
  for (const wake of [...watchers]) wake()
  return kindOf(kind).get(name)
}

function answer (res, status, body) {
  const text = JSON.stringify(body)
  res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  res.end(text)
}

async function watch (kind, since, wait, res) {
  const end = Date.now() + wait
  for (;;) {
    const events = history.filter(event => event.kind === kind && event.revision > since).map(({ tombstone, object }) => ({ tombstone, object }))
    if (events.length > 0 || Date.now() >= end || res.destroyed) return answer(res, 200, { events, current_rev: revision })
    await new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer)
        watchers.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, end - Date.now())
      watchers.add(wake)
    })
  }
}

async function read (kind, name, query, res) {
  if (name !== undefined) {
    const object = kindOf(kind).get(name)
    return object === undefined ? answer(res, 404, {}) : answer(res, 200, object)
  }
  if (query.has('watch')) return await watch(kind, Number(query.get('watch')), Number(query.get('wait_ms') ?? 0), res)
  const after = query.get('after') ?? ''
  const names = [...kindOf(kind).keys()].filter(other => other > after).sort()
  answer(res, 200, { items: names.slice(0, PAGE).map(other => kindOf(kind).get(other)), more_pages: names.length > PAGE, current_rev: revision })
}

function write (method, { kind, name, isStatus, query }, body) {
  const key = name ?? body.metadata?.name
  const present = kindOf(kind).get(key)
  if (method === 'POST') return present === undefined ? [200, change(kind, key, { metadata: { created: revision + 1 }, spec: body.spec, status: null })] : [409, present]
  if (present === undefined) return [404, {}]
  const expected = body.metadata?.revision ?? (query.has('revision') ? Number(query.get('revision')) : undefined)
  if (expected !== undefined && expected !== present.metadata.revision) return [409, present]
  if (method === 'DELETE') {
    change(kind, key, undefined)
    return [200, present]
  }
  const next = isStatus ? { ...present, status: body.status } : { ...present, spec: body.spec }
  return JSON.stringify(next) === JSON.stringify(present) ? [200, present] : [200, change(kind, key, next)]
}

const server = createServer((req, res) => {
  const chunks = []
  req.on('data', chunk => chunks.push(chunk))
  req.on('end', async () => {
    const url = new URL(req.url, 'http://store')
    const text = Buffer.concat(chunks).toString()
    if (url.pathname === '/control') {
      faults = JSON.parse(text)
      return answer(res, 200, {})
    }
    if (faults.down === 'silent') return
    if (faults.delay > 0) await new Promise(resolve => setTimeout(resolve, faults.delay))
    if (faults.down === 'busy' || faults.down === 'limited') return answer(res, faults.down === 'busy' ? 503 : 429, {})
    const [, kind, name, status] = PATH.exec(url.pathname) ?? []
    if (kind === undefined) return answer(res, 400, {})
    const target = { kind, name: name === undefined ? undefined : decodeURIComponent(name), isStatus: status !== undefined, query: url.searchParams }
    if (req.method === 'GET') return await read(kind, target.name, url.searchParams, res)
    const [code, body] = write(req.method, target, text === '' ? {} : JSON.parse(text))
    answer(res, code, body)
  })
})

server.listen(Number(process.argv[2]), '127.0.0.1')
process.on('SIGTERM', () => process.exit(0))
