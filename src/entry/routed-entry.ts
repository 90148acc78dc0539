import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { App } from '@tinyhttp/app'
import { inject, Lifecycle, scoped } from 'tsyringe'
import { Err, Ok, type Result } from 'ts-results'
import { chooseService } from '../config/choose-service.js'
import { ConfigurationHolder } from '../config/configuration-holder.js'
import { findCaller } from '../config/find-caller.js'
import { findRoute } from '../config/find-route.js'
import type { Route } from '../config/route.js'
import type { BodyFailure } from '../http/body-failure.js'
import { createAppServer } from '../http/create-app-server.js'
import type { EarlyServer } from '../http/early-server.js'
import { listen } from '../http/listen.js'
import { RequestBody } from '../http/request-body.js'
import { takeOver } from '../http/take-over.js'
import type { JobCall } from '../jobs/job-call.js'
import { JobRequestHandler } from '../jobs/job-request-handler.js'
import type { Clock } from '../kernel/clock.js'
import { MemoryBudget } from '../kernel/memory/memory-budget.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { pauseFor } from '../kernel/pause-for.js'
import { planConnections } from '../kernel/plan-connections.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import { failUnreachable } from '../kernel/unreachable.js'
import type { LogSink } from '../observe/log-sink.js'
import { Metrics } from '../observe/metrics.js'
import { Members } from '../peers/members.js'
import { estimateSize } from '../placement/estimate-size.js'
import { FleetWatch } from '../fleet/fleet-watch.js'
import { Ending } from '../routing/ending/ending.js'
import { Forwarder } from '../routing/forwarder.js'
import { CallerConnections } from './caller-connections.js'
import type { CallerExchange } from './caller-exchange.js'
import { ConnectionMemory } from './connection-memory.js'
import type { EntryDialect } from './entry-dialect.js'
import { OpenRequests } from './open-requests.js'
import { readBodyInTime } from './read-body-in-time.js'
import { RequestRefusals } from './request-refusals.js'
import { ResponseSink } from './response-sink.js'
import type { RoutedSettings } from './routed-settings.js'
import { sendRoutedRefusal } from './send-routed-refusal.js'
import { StartWait } from './start-wait.js'

/** Errors of a connection that its caller has closed. */
const CALLER_LEFT = ['ECONNRESET', 'EPIPE', 'HPE_INVALID_EOF_STATE']
const HEADERS_TIMEOUT = 10_000 // ms
const TIMEOUT_CHECK = 1_000 // ms
const MAX_HEADER_BYTES = 65_536
/** Keep-alive timeout announced to callers, s, and the actual one, ms, which is longer so that callers close first. */
const KEEP_ALIVE = 20
const KEEP_ALIVE_TIMEOUT = 30_000
/** Some callers cache an answer with addresses for up to three times as long as allowed. */
const ADDRESS_KEEP_FACTOR = 3
/** Added to the cache time of an answer with addresses, ms: callers count from its arrival. */
const NETWORK_DELAY = 300
/** Idle time after which a connection is closed while draining, ms: several round trips, so that no request is in flight to it. */
const CLOSE_IDLE_AFTER = 400
/** How long before the process would be killed the requests still in progress are given up, and how long their last bytes are sent, ms. */
const SHUTDOWN_MARGIN = 300
const LAST_BYTES = 100
const NO_SERVICE_RETRY = 300
/** A request with less than this share of the longest timeout of its route counts as a retry. */
const RETRY_SHARE = 0.97
const DEFAULT_DEADLINE = 60_000

type Refused = Parameters<RequestRefusals['refuseLate']>[0]

/** The entry for requests by host and path: finds the route and forwards the request, or answers why it can't. */
@scoped(Lifecycle.ContainerScoped)
export class RoutedEntry implements Part {
  private readonly server: Server
  private readonly connections: CallerConnections
  private readonly memory: ConnectionMemory
  private readonly refusals: RequestRefusals
  private readonly requests: OpenRequests
  private readonly startWait: StartWait
  /** By route of the current configuration: the longest timeout that a caller has sent, ms. */
  private readonly longestTimeouts = new WeakMap<Route, number>()

  constructor (
    @inject(tokens.routedSettings) private readonly settings: RoutedSettings,
    @inject(tokens.settings) { descriptors }: Pick<Settings, 'descriptors'>,
    @inject(tokens.earlyServer) private readonly early: EarlyServer | undefined,
    @inject(tokens.entryDialect) private readonly dialect: EntryDialect,
    @inject(tokens.clock) readonly clock: Clock,
    @inject(tokens.log) private readonly log: LogSink,
    @inject(ConfigurationHolder) private readonly configuration: ConfigurationHolder,
    @inject(Forwarder) private readonly forwarder: Forwarder,
    @inject(JobRequestHandler) private readonly jobs: JobRequestHandler,
    @inject(Members) private readonly members: Members,
    @inject(FleetWatch) private readonly fleet: FleetWatch,
    @inject(Ending) readonly ending: Ending,
    @inject(Metrics) private readonly metrics: Metrics,
    @inject(MemoryBudget) budget: MemoryBudget
  ) {
    const app = new App()
    app.use((req, res) => { void this.handle(req, res) })
    this.server = createAppServer(app, { headersTimeout: HEADERS_TIMEOUT, connectionsCheckingInterval: TIMEOUT_CHECK, keepAliveTimeout: KEEP_ALIVE_TIMEOUT, maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: 0 })
    this.connections = new CallerConnections(this.server, clock, { keepAlive: KEEP_ALIVE, closeIdleAfter: CLOSE_IDLE_AFTER, limit: planConnections(descriptors).callers, onUnparsed: (socket, bytes) => this.memory.setUnparsed(socket, bytes), onFull: outcome => this.recordFull(outcome), onFaulty: (error, socket) => this.closeFaulty(error, socket) })
    this.memory = new ConnectionMemory(budget)
    this.refusals = new RequestRefusals({ log, metrics, random: forwarder.random })
    this.requests = new OpenRequests({ clock, log, metrics, readId: req => dialect.readHead(req).id })
    this.startWait = new StartWait({
      clock,
      isLoaded: () => configuration.value.version > 0 && fleet.hasServers,
      subscribe: listener => {
        const stops = [configuration.subscribe(listener), fleet.subscribe(listener)]
        return () => { for (const stop of stops) stop() }
      }
    })
    metrics.gauge('entry_connections', () => this.connections.size)
    metrics.gauge('entry_requests_ahead', () => this.connections.waitingCount)
  }

  async start (): Promise<void> {
    const { requests } = this.settings
    if (this.early === undefined) await listen(this.server, requests.host, requests.port)
    else await takeOver(this.server, this.early)
    if ((this.early?.refused ?? 0) > 0) this.recordFull('refused while the program loaded')
    this.members.update({ port: requests.port })
  }

  /**
   * Announces that this daemon is leaving, serves until no cached answer with addresses names it, then closes each connection after its last
   * response. Requests that can't be expected to be done by then are refused; those still in progress shortly before the process would be
   * killed are given up.
   */
  async drain (): Promise<void> {
    const { addressKeep, shutdownTime } = this.settings
    const end = this.clock.now() + shutdownTime - SHUTDOWN_MARGIN
    this.ending.begin(end)
    void this.members.leave()
    await pauseFor(this.clock, Math.min(shutdownTime - SHUTDOWN_MARGIN, ADDRESS_KEEP_FACTOR * addressKeep + NETWORK_DELAY))
    this.log.write('info', 'entry', 'closing connections', { connections: this.connections.size })
    const closed = this.connections.close()
    await Promise.race([closed, pauseFor(this.clock, Math.max(0, end - this.clock.now()))])
    this.ending.finish()
    await Promise.race([closed, pauseFor(this.clock, LAST_BYTES)])
    this.requests.recordCuts('shutdown')
  }

  /** Closes the connection of a caller that has left, or whose bytes are no request or come too slowly. */
  private closeFaulty ({ code }: NodeJS.ErrnoException, socket: Socket): void {
    if (code !== undefined && !CALLER_LEFT.includes(code)) {
      this.requests.recordCuts('malformed bytes', socket)
      this.metrics.count('entry_faulty_connections_total', { code })
      this.log.write('info', 'entry', 'closed a connection without a whole request', { code })
    }
    socket.destroy()
  }

  private recordFull (outcome: string): void {
    this.metrics.count('entry_connections_full_total', { outcome })
    this.log.write('warn', 'entry', 'has as many connections of callers as it may', { outcome, connections: this.connections.size })
  }

  private async handle (req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (!this.connections.begin(req, res)) {
      res.destroy()
      return
    }
    const memory = this.memory.begin(req)
    const turn = this.connections.waitForTurn(req)
    if (memory === undefined && turn !== undefined) {
      // Nothing of it may be kept until its turn.
      req.socket.destroy()
      return
    }
    const body = new RequestBody(req, { getLimit: () => this.bodyLimit, take: bytes => memory?.grow(bytes) === true })
    const arrived = this.clock.now()
    if (turn !== undefined && !await turn) return
    this.requests.add(req, res)
    const isAnswered = new Promise<void>(resolve => res.once('close', resolve))
    try {
      if (memory === undefined) this.refusals.refuseWithoutMemory({ id: this.dialect.readHead(req).id, req, res })
      else await this.serve({ req, res, body, memory, arrived })
    } catch (error) {
      this.log.write('error', 'entry', 'a request failed', { path: req.url, error: (error as Error).stack })
      if (!res.headersSent) return sendRoutedRefusal(res, { cause: 'server failed', ran: 'unknown', retryAfter: 0, detail: 'an error of ours; its cause is in the log' })
      this.requests.recordCuts('error', res.socket)
      res.destroy()
    } finally {
      void isAnswered.then(() => memory?.release())
    }
  }

  /** Longest body, bytes. Until the configuration has loaded, only memory limits it. */
  private get bodyLimit (): number {
    const { version, limits } = this.configuration.value
    return version === 0 ? Infinity : limits.bodyBytes
  }

  private async serve (exchange: CallerExchange): Promise<void> {
    const { req, res, memory, arrived } = exchange
    const disconnected = new AbortController()
    res.once('close', () => { if (!res.writableFinished) disconnected.abort() })
    const head = this.dialect.readHead(req)
    const refused = { id: head.id, req, res }
    if (!await this.startWait.wait() && this.configuration.value.version === 0) return this.refusals.refuseUnready(refused, this.startWait.retryAfter)
    const { version, routes = {}, callers } = this.configuration.value
    const call = this.dialect.readJobCall(req)
    if (call !== undefined && this.ending.isTooLate({ deadline: Infinity })) return this.refusals.refuseLate(refused)
    if (call !== undefined) return await this.answerJobCall(call, refused, exchange)
    const repeated = req.method === 'POST' ? this.jobs.findRepeatedRoute(head) : undefined
    const route = repeated ?? findRoute(routes, head.host, head.path)
    if (route === undefined) return this.refusals.refuseUnrouted(refused, { host: head.host, path: head.path, configuration: version })
    const caller = await this.checkKey(req, route)
    if (caller.err) return this.refuseKey(caller.val, refused)
    const left = Math.min(head.timeLeft ?? DEFAULT_DEADLINE, route.timeout > 0 ? route.timeout : Infinity)
    const deadline = arrived + left
    const body = await readBodyInTime(exchange, { route, deadline }, this)
    if (body.err) return this.refuseBody(body.val, refused, exchange)
    if (this.ending.isTooLate({ route, deadline })) return this.refusals.refuseLate(refused)
    if (!memory.pin()) return this.refusals.refuseWithoutMemory(refused)
    // The time that a caller takes to send its body doesn't count towards the target: the request would be refused as late while servers are idle.
    const whole = this.clock.now()
    if (route.jobs !== undefined) return await this.jobs.submit({ id: head.id, route, path: head.path, caller: caller.val, body: body.val, arrived: whole, memory }, res)
    const service = chooseService(route.services, this.forwarder.random)
    if (service === undefined) return sendRoutedRefusal(res, { cause: 'no server', ran: 'not run', retryAfter: NO_SERVICE_RETRY, detail: 'the route names no service' })
    await this.forwarder.forward({
      id: head.id,
      route,
      caller: caller.val,
      priority: callers[caller.val ?? '']?.priority ?? route.priority,
      method: req.method!,
      path: req.url!,
      headers: head.headers,
      body: body.val.length === 0 ? undefined : body.val,
      resumeAfter: head.resumeAfter,
      resumes: head.resumes,
      key: head.affinityKey,
      size: head.tokens === undefined ? undefined : estimateSize(head.tokens),
      arrived: whole,
      asked: whole - this.estimateElapsed(route, head.timeLeft),
      deadline,
      signal: disconnected.signal,
      memory
    }, service, new ResponseSink(res, bytes => memory.keepAnswer(bytes)))
  }

  private refuseBody (reason: BodyFailure | 'late' | 'slow', refused: Refused, { res, body }: CallerExchange): void {
    body.drop()
    switch (reason) {
      case 'cut': {
        res.destroy()
        return
      }
      case 'late': return this.refusals.refuseLate(refused)
      case 'slow': return this.refusals.refuseSlow(refused)
      case 'no memory': return this.refusals.refuseWithoutMemory(refused)
      case 'too large': return this.refusals.refuseTooLarge(refused, this.configuration.value.limits.bodyBytes)
      default: return failUnreachable(reason)
    }
  }

  private async answerJobCall (call: JobCall, refused: Refused, { req, res, body, memory }: CallerExchange): Promise<void> {
    body.drop()
    const isPublic = this.dialect.readKey(req) === undefined && this.jobs.isPublic(call.job)
    const caller = isPublic ? Ok(undefined) : await this.checkKey(req)
    if (caller.err) return this.refuseKey(caller.val, refused)
    await this.jobs.answer(call, caller.val, { res, memory })
  }

  /**
   * Returns the caller that the request's key belongs to, undefined where none is needed. An unknown key is rejected only by a
   * recent configuration: it may have been added by a version that this daemon hasn't received.
   */
  private async checkKey (req: IncomingMessage, route?: Route): Promise<Result<string | undefined, 'unknown' | 'unsure'>> {
    const { requiresKeys = false } = this.configuration.value
    if (!requiresKeys) return Ok(undefined)
    const key = this.dialect.readKey(req)
    const find = (): string | undefined => key === undefined ? undefined : findCaller(this.configuration.value.callers, key)
    const caller = find()
    if (caller !== undefined || route?.public === true) return Ok(caller)
    if (!await this.fleet.confirmConfiguration()) return Err('unsure')
    const confirmed = find()
    return confirmed === undefined ? Err('unknown') : Ok(confirmed)
  }

  private refuseKey (reason: 'unknown' | 'unsure', refused: Refused): void {
    if (reason === 'unsure') this.refusals.refuseUnready(refused, this.startWait.retryAfter)
    else this.refusals.refuseUnknownKey(refused, this.configuration.value.version)
  }

  /** Estimates how long ago a caller first sent its request, ms: a retry has less time left than first attempts on the same route. */
  private estimateElapsed (route: Route, left: number | undefined): number {
    if (left === undefined) return 0
    const longest = Math.max(left, this.longestTimeouts.get(route) ?? 0)
    this.longestTimeouts.set(route, longest)
    return left < longest * RETRY_SHARE ? longest - left : 0
  }
}

partRegistry.register({ name: 'routed entry', part: RoutedEntry, needs: ['forwarder', 'jobs', 'members', 'fleet watch'] })
