import 'reflect-metadata'
import { createServer, type Server } from 'node:http'
import type { Route } from '../../src/config/route.js'
import { ResponseSink } from '../../src/entry/response-sink.js'
import type { Clock } from '../../src/kernel/clock.js'
import { listen } from '../../src/http/listen.js'
import { readBody } from '../../src/http/read-body.js'
import { tokens } from '../../src/kernel/tokens.js'
import { PlacementQueue } from '../../src/placement/placement-queue.js'
import type { PlacementRequest } from '../../src/placement/placement-request.js'
import { ServerLoads } from '../../src/placement/server-loads.js'
import { Forwarder } from '../../src/routing/forwarder.js'
import { StreamOrigins } from '../../src/routing/origins/stream-origins.js'
import { serverDialect } from '../../platform/server-dialect.js'
import { DispatchBench } from './dispatch-bench.js'
import { readRawAnswer, type RawAnswer } from './read-raw-answer.js'

interface RouteBenchOptions {
  readonly ports: readonly number[]
  readonly route?: Partial<Route>
  /** Longest time until the whole answer, ms. */
  readonly time?: number
  /** Places a request that needs a slot; if omitted, each server has one. */
  readonly place?: (asked: PlacementRequest) => void
  /** Start of the servers' processes as the list states it, Unix ms; not stated if omitted. */
  readonly startedAt?: number
  /** Returns the live servers of a version; all if omitted. */
  readonly listOfVersion?: () => readonly unknown[]
  /** The daemon's clock; the system's if omitted. */
  readonly clock?: Clock
}

const POOL = 'pool'
const MAX_BODY = 1_000_000 // bytes

/** The entry by host and path of one daemon: an HTTP server that forwards requests to servers on `ports`, each time to the next one. */
export class RouteBench {
  private readonly bench: DispatchBench
  private readonly server: Server
  port = 0
  private turn = 0

  private constructor (private readonly options: RouteBenchOptions) {
    this.bench = new DispatchBench({ ports: options.ports, startedAt: options.startedAt, clock: options.clock })
    const container = this.bench.container
    container.registerInstance(tokens.serverDialect, serverDialect)
    container.registerInstance(ServerLoads, { outcomes: { record: () => {} }, intervals: { record: () => {} }, markFull: () => {}, listOfVersion: options.listOfVersion ?? (() => options.ports) } as unknown as ServerLoads)
    container.registerInstance(PlacementQueue, { request: options.place ?? ((asked: PlacementRequest) => asked.start(this.choose(asked))), recordHoldTime: () => {} } as unknown as PlacementQueue)
    container.registerInstance(StreamOrigins, { find: async () => ({ type: 'unknown' }), record: async () => 'recorded', beginRecord: () => {}, findBeginning: () => ({ type: 'any' }) } as unknown as StreamOrigins)
    const forwarder = container.resolve(Forwarder)
    this.server = createServer((req, res) => { void this.forward(forwarder, req, res) })
  }

  static async start (options: RouteBenchOptions): Promise<RouteBench> {
    const bench = new RouteBench(options)
    bench.port = await listen(bench.server, '127.0.0.1', 0)
    return bench
  }

  async stop (): Promise<void> {
    this.server.close()
    this.server.closeAllConnections()
    await this.bench.stop()
  }

  /** Sends a request as a caller and reads its answer to the end. */
  async ask (path: string, headers: Readonly<Record<string, string>> = {}): Promise<RawAnswer> {
    return await readRawAnswer(this.port, path, { 'x-request-id': path, ...headers })
  }

  private choose ({ avoided }: PlacementRequest): string {
    const names = this.options.ports.map((_, i) => `server-${i}`)
    const open = names.filter(name => !avoided.includes(name))
    return (open.length === 0 ? names : open)[this.turn++ % Math.max(1, open.length)]!
  }

  private async forward (forwarder: Forwarder, ...[req, res]: Parameters<Parameters<typeof createServer>[1] & object>): Promise<void> {
    const body = await readBody(req, MAX_BODY)
    const { route: more, time = 2_000 } = this.options
    const route: Route = { host: 'h', pathPrefix: '/', services: [], streamed: false, idempotent: false, resumable: false, attempts: 2, timeout: 0, target: 300, priority: 0, ...more }
    const left = new AbortController()
    res.once('close', () => { if (!res.writableFinished) left.abort() })
    const now = forwarder.clock.now()
    const { 'x-request-id': id, 'last-event-id': resumeAfter, 'content-length': _length, 'transfer-encoding': _encoding, connection: _connection, ...headers } = req.headers as Record<string, string>
    await forwarder.forward({ id: String(id), route, priority: 0, method: req.method!, path: req.url!, headers, body: body.unwrap(), resumeAfter, arrived: now, asked: now, deadline: now + time, signal: left.signal }, POOL, new ResponseSink(res))
  }
}
