import type { Clock } from '../../kernel/clock.js'
import type { LogSink } from '../../observe/log-sink.js'
import type { ServerLoads } from '../../placement/server-loads.js'
import type { RoutedRequest } from '../routed-request.js'
import type { Servers } from '../servers/servers.js'
import type { Beginning } from './beginning.js'
import type { StreamOrigin } from './stream-origin.js'
import type { StreamOrigins } from './stream-origins.js'

/** How long callers may resume a stream of a route without a timeout, ms. */
const DEFAULT_SPAN = 60_000

interface RequestOriginTools {
  readonly log: LogSink
  readonly clock: Pick<Clock, 'now'>
  readonly loads: ServerLoads
  readonly servers: Servers
  readonly origins: StreamOrigins
}

/** Where the stream of one request began: known from the first event that was relayed, here or by the daemon of an earlier attempt. */
export class RequestOrigin {
  private origin: StreamOrigin | undefined
  private isRecorded = false

  constructor (private readonly request: RoutedRequest, private readonly tools: RequestOriginTools) {}

  /** Returns the only version that may run the request; undefined for any. */
  findVersion (pool: string): string | undefined {
    const beginning = this.findBeginning(pool)
    return this.origin?.version ?? (beginning.type === 'default' ? beginning.version : undefined)
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
    if (route.resumable && this.origin === undefined) origins.beginRecord(id, { pool, version }, this.span)
  }

  /**
   * Records where the stream began; its first event must not be relayed before this resolves. Returns false if it must not be relayed at all:
   * the store couldn't show it until `deadline`, monotonic ms.
   */
  async record (pool: string, version: string, deadline: number): Promise<boolean> {
    const { request: { id, route, resumes }, tools: { origins, loads, clock } } = this
    if (this.isRecorded || !route.resumable) return true
    const isNew = this.origin === undefined
    const origin = this.origin ?? { pool, version }
    const begins = { left: Math.max(0, deadline - clock.now()), mayBeginAt: (other: string) => loads.listOfVersion(pool, other).length > 0 }
    const recorded = await origins.record({ id: resumes ?? id, origin, span: this.span, ...isNew && { begins } })
    if (recorded === 'unrecorded') return false
    this.isRecorded = true
    this.origin = origin
    return true
  }

  /** Returns why no server can run the request, if so: none has its version, or none is known to need no record. */
  findLack (pool: string): string | undefined {
    const { origin, tools: { loads } } = this
    if (origin === undefined) return this.findBeginning(pool).type === 'unknown' ? 'the store has not been read, and can\'t record where the stream begins' : undefined
    return loads.listOfVersion(origin.pool, origin.version).length > 0 ? undefined : `no server has version ${origin.version}`
  }

  /** Whether a new stream may begin at the server, though the store fails. */
  mayBeginAt (pool: string, server: string): boolean {
    const beginning = this.findBeginning(pool)
    return beginning.type !== 'default' || this.tools.servers.find(server)?.version === beginning.version
  }

  /** Returns why the server may not run the request, if so: its version is another one, though it was granted. */
  findMismatch (server: string): string | undefined {
    const { origin, tools: { servers } } = this
    return origin === undefined || servers.find(server)?.version === origin.version ? undefined : `${server} hasn't version ${origin.version}`
  }

  private findBeginning (pool: string): Beginning {
    const { request: { route }, tools: { origins, loads } } = this
    if (!route.resumable || this.origin !== undefined) return { type: 'any' }
    const beginning = origins.findBeginning(pool, this.span)
    return beginning.type === 'default' && loads.listOfVersion(pool, beginning.version).length === 0 ? { type: 'any' } : beginning
  }

  private get span (): number {
    return this.request.route.timeout || DEFAULT_SPAN
  }
}
