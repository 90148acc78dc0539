import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { listen } from '../../src/http/listen.js'
import { readBody } from '../../src/http/read-body.js'
import { sendJson } from '../../src/http/send-json.js'
import type { StoredObject } from '../../src/store/stored-object.js'
import { ObjectTable } from '../platform/object-table.js'

const MAX_BODY = 2_000_000 // bytes
const PAGE = 500 // objects
const PAGE_BYTES = 1_048_576
const PATH = /^\/api\/objects\/([^/]+)(?:\/([^/]+))?(\/status)?$/

/** Faults of the store; an absent field is no fault. */
interface ObjectApiFaults {
  /** `busy` answers 503, `limited` 429, `silent` not at all. */
  down?: 'busy' | 'limited' | 'silent'
  /** The only kind of object whose calls are answered 503. */
  refusedKind?: string
  /** Whether writes take effect and are never answered. */
  losesReplies?: boolean
  /** Draws the time after which a write takes effect that is never answered, ms; undefined for a write without fault. */
  lateWrites?: () => number | undefined
  /** Whether watches are never answered, those that are pending when it begins included; other calls are. */
  mutesWatches?: boolean
  /** Most objects of a page of a list, and whether one page more, without objects, follows the first. */
  pageLength?: number
  hasEmptyPage?: boolean
  /** Delay of each answer, ms. */
  delay?: number
  /** Watches from an earlier revision are answered 410, as their history is gone. */
  oldestRevision?: number
}

interface Target { readonly kind: string, readonly name: string | undefined, readonly isStatus: boolean, readonly query: URLSearchParams }

/** A stand-in for the users' object store: revisions, watches, pages, 409, 410, and faults. */
export class ObjectApi {
  faults: ObjectApiFaults = {}
  port = 0
  readonly statuses = new Map<string, unknown>()
  readonly objects = new ObjectTable()
  /** Further ports that answer every call 503 or 429, or not at all. */
  readonly downAtPort = new Map<number, 'busy' | 'limited' | 'silent'>()
  private readonly servers: Server[] = []
  private readonly late = new Set<NodeJS.Timeout>()

  async start (): Promise<void> {
    this.port = await this.openPort()
  }

  stop (): void {
    for (const timer of this.late) clearTimeout(timer)
    for (const server of this.servers) {
      server.close()
      server.closeAllConnections()
    }
  }

  /** Serves the same objects at one more port, so that faults can affect a part of the callers. */
  async openPort (): Promise<number> {
    const server = createServer((req, res) => { void this.handle(req, res) })
    this.servers.push(server)
    return await listen(server, '127.0.0.1', 0)
  }

  /** Writes an object unconditionally, as another system does. */
  put (kind: string, name: string, spec: unknown): void {
    this.objects.write(kind, name, spec, this.objects.read(kind, name)?.version ?? 0)
  }

  remove (kind: string, name: string): void {
    this.objects.remove(kind, name, this.objects.read(kind, name)?.version ?? 0)
  }

  private async handle (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url!, 'http://store')
    const [, kind, name, status] = PATH.exec(url.pathname) ?? []
    const body = await readBody(req, MAX_BODY)
    const down = this.findDown(req)
    if (down === 'silent') return
    if (this.faults.delay !== undefined) await new Promise(resolve => setTimeout(resolve, this.faults.delay))
    if (down !== undefined) return sendJson(res, down === 'busy' ? 503 : 429, {})
    if (kind === this.faults.refusedKind) return sendJson(res, 503, {})
    if (kind === undefined || body.err) return sendJson(res, 400, {})
    const target = { kind, name: name === undefined ? undefined : decodeURIComponent(name), isStatus: status !== undefined, query: url.searchParams }
    if (req.method === 'GET') return await this.read(target, res, () => this.findDown(req))
    const run = (): readonly [number, unknown] => this.write(req.method!, target, body.val.length === 0 ? {} : JSON.parse(body.val.toString()))
    const delay = this.faults.lateWrites?.()
    if (delay !== undefined) return this.runLate(run, delay)
    const [code, answer] = run()
    if (this.faults.losesReplies !== true) sendJson(res, code, answer)
  }

  private findDown ({ socket }: IncomingMessage): ObjectApiFaults['down'] {
    return this.faults.down ?? this.downAtPort.get(socket.localPort ?? 0)
  }

  private runLate (run: () => void, delay: number): void {
    const timer = setTimeout(() => {
      this.late.delete(timer)
      run()
    }, delay)
    this.late.add(timer)
  }

  private async read ({ kind, name, query }: Target, res: ServerResponse, findDown: () => ObjectApiFaults['down']): Promise<void> {
    if (name !== undefined) {
      const object = this.objects.read(kind, name)
      return sendJson(res, object === undefined ? 404 : 200, object === undefined ? {} : showObject(object))
    }
    if (query.has('watch')) return await this.watch(kind, Number(query.get('watch')), Number(query.get('wait_ms')), res, findDown)
    const { pageLength = PAGE, hasEmptyPage = false } = this.faults
    const items = this.objects.list(kind, '', query.get('after') ?? '', pageLength + 1)
    const page = hasEmptyPage && query.has('after') ? [] : limitPage(items.slice(0, pageLength))
    sendJson(res, 200, { items: page.map(showObject), more_pages: items.length > page.length, current_rev: this.objects.revision })
  }

  private async watch (kind: string, revision: number, wait: number, res: ServerResponse, findDown: () => ObjectApiFaults['down']): Promise<void> {
    if (revision < (this.faults.oldestRevision ?? 0)) return sendJson(res, 410, {})
    const end = Date.now() + wait
    for (;;) {
      // A connection on which an answer is lost stays open and returns nothing further.
      if (this.isMute || findDown() === 'silent') return
      const { changed, deleted } = this.objects.changesSince(kind, revision)
      if (changed.length + deleted.length > 0 || Date.now() >= end || findDown() !== undefined) {
        const events = [...changed.map(object => ({ tombstone: false, object: showObject(object) })), ...deleted.map(name => ({ tombstone: true, object: { metadata: { name } } }))]
        return sendJson(res, 200, { events, current_rev: this.objects.revision })
      }
      await new Promise(resolve => setTimeout(resolve, 10))
    }
  }

  private get isMute (): boolean {
    return this.faults.losesReplies === true || this.faults.mutesWatches === true
  }

  private write (method: string, { kind, name, isStatus, query }: Target, body: any): readonly [number, unknown] {
    const key = name ?? String(body.metadata?.name)
    const present = this.objects.read(kind, key)
    if (method === 'POST') return present === undefined ? [201, this.create(kind, key, body.spec, 0)] : [409, showObject(present)]
    if (present === undefined) return [404, {}]
    if (isStatus) {
      this.statuses.set(`${kind}/${key}`, body.status)
      return [200, showObject(present)]
    }
    const expected = Number(body.metadata?.revision ?? query.get('revision') ?? present.version)
    if (expected !== present.version) return [409, showObject(present)]
    if (method === 'PUT') return [200, this.create(kind, key, body.spec, present.version)]
    this.objects.remove(kind, key, present.version)
    return [200, showObject(present)]
  }

  private create (kind: string, name: string, spec: unknown, version: number): unknown {
    return showObject(this.objects.write(kind, name, spec, version) as StoredObject)
  }
}

function showObject ({ name, version, value }: StoredObject): unknown {
  return { metadata: { name, revision: version, created: 1, finalizers: [], deleting: false }, spec: value, status: null }
}

/** Cuts a page at its longest size; it has at least one object. */
function limitPage (objects: readonly StoredObject[]): readonly StoredObject[] {
  let bytes = 0
  const end = objects.findIndex((object, i) => {
    bytes += Buffer.byteLength(JSON.stringify(showObject(object))) + 1
    return i > 0 && bytes > PAGE_BYTES
  })
  return end < 0 ? objects : objects.slice(0, end)
}
