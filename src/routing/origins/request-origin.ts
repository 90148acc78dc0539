import type { LogSink } from '../../observe/log-sink.js'
import type { ServerLoads } from '../../placement/server-loads.js'
import type { RoutedRequest } from '../routed-request.js'
import type { Servers } from '../servers/servers.js'
import type { StreamOrigin } from './stream-origin.js'
import type { StreamOrigins } from './stream-origins.js'

/** How long callers may resume a stream of a route without a timeout, ms. */
const DEFAULT_SPAN = 60_000

interface RequestOriginTools {
  readonly log: LogSink
  readonly loads: ServerLoads
  readonly servers: Servers
  readonly origins: StreamOrigins
}

/** Where the stream of one request began: known from the first event that was relayed, here or by the daemon of an earlier attempt. */
export class RequestOrigin {
  private origin: StreamOrigin | undefined
  private isRecorded = false

  constructor (private readonly request: RoutedRequest, private readonly tools: RequestOriginTools) {}

  /** The only version that may run the request; undefined for any. */
  get version (): string | undefined {
    return this.origin?.version
  }

  /** Finds where a stream began that the caller resumes. Returns the service to send it to, or why it can't go on. */
  async find (service: string): Promise<{ readonly type: 'service', readonly service: string } | { readonly type: 'lost', readonly detail: string }> {
    const { request: { id, route, resumeAfter, resumes }, tools: { log, origins } } = this
    if (!route.resumable || resumeAfter === undefined) return { type: 'service', service }
    const found = await origins.find({ id: resumes, pool: service })
    log.write('info', 'routing', 'resumes a stream', { request: id, stream: resumes, events: resumeAfter, ...found.type === 'known' ? { ...found.origin, by: found.by } : { by: 'nobody' } })
    if (found.type === 'unknown') return { type: 'lost', detail: 'the version that began the stream is not known' }
    const { pool } = this.origin = found.origin
    return route.services.some(other => other.service === pool) ? { type: 'service', service: pool } : { type: 'lost', detail: 'the route no longer names the service that began the stream' }
  }

  /** Begins to record where the stream begins if the server that gets it answers. */
  beginRecord (pool: string, version: string): void {
    const { request: { id, route }, tools: { origins } } = this
    if (route.resumable && this.origin === undefined) origins.beginRecord(id, { pool, version })
  }

  /** Records where the stream began; its first event must not be relayed before this resolves. */
  async record (pool: string, version: string): Promise<void> {
    const { request: { id, route, resumes }, tools: { origins } } = this
    if (this.isRecorded || !route.resumable) return
    this.isRecorded = true
    this.origin ??= { pool, version }
    await origins.record({ id: resumes ?? id, origin: this.origin, span: this.span })
  }

  /** Returns why no server can run the request, if so: none has its version. */
  findLack (): string | undefined {
    const { origin, tools: { loads } } = this
    return origin === undefined || loads.listOfVersion(origin.pool, origin.version).length > 0 ? undefined : `no server has version ${origin.version}`
  }

  /** Returns why the server may not run the request, if so: its version is another one, though it was granted. */
  findMismatch (server: string): string | undefined {
    const { origin, tools: { servers } } = this
    return origin === undefined || servers.find(server)?.version === origin.version ? undefined : `${server} hasn't version ${origin.version}`
  }

  private get span (): number {
    return this.request.route.timeout || DEFAULT_SPAN
  }
}
