import { App, type Request, type Response } from '@tinyhttp/app'
import type { Server } from 'node:http'
import { inject, Lifecycle, scoped } from 'tsyringe'
import { ConfigurationHolder } from '../config/configuration-holder.js'
import { createAppServer } from '../http/create-app-server.js'
import { dropBody } from '../http/drop-body.js'
import { listen } from '../http/listen.js'
import type { Clock } from '../kernel/clock.js'
import { Extensions } from '../kernel/extensions.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import type { LogSink } from '../observe/log-sink.js'
import { Metrics } from '../observe/metrics.js'
import { Members } from '../peers/members.js'
import { Addresses } from './addresses.js'
import { authenticate } from './authenticate.js'
import { CallerConnections } from './caller-connections.js'
import { handleClientError } from './handle-client-error.js'
import { isOperator } from './is-operator.js'
import type { HttpRoute } from './http-route.js'
import { routePoint } from './route-point.js'
import { sendProblem } from './send-problem.js'

const HEADERS_TIMEOUT = 10_000 // ms
const TIMEOUT_CHECK = 1_000 // ms
/** Above the announced timeout of 5 s, so that callers close idle connections first. */
const KEEP_ALIVE_TIMEOUT = 15_000
const NOT_READY_RETRY = 1_000

/** The HTTP interface for callers and operators: serves the routes that parts register, each behind its access check. */
@scoped(Lifecycle.ContainerScoped)
export class EntryServer implements Part {
  /** The port in use, once started. */
  port = 0
  private readonly server: Server
  private readonly app = new App()
  private readonly connections: CallerConnections

  constructor (
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(tokens.log) private readonly log: LogSink,
    @inject(ConfigurationHolder) private readonly configuration: ConfigurationHolder,
    @inject(Members) private readonly members: Members,
    @inject(Addresses) private readonly addresses: Addresses,
    @inject(tokens.clock) clock: Clock,
    @inject(Metrics) metrics: Metrics,
    @inject(Extensions) private readonly added: Extensions
  ) {
    this.server = createAppServer(this.app, { headersTimeout: HEADERS_TIMEOUT, connectionsCheckingInterval: TIMEOUT_CHECK, keepAliveTimeout: KEEP_ALIVE_TIMEOUT })
    this.connections = new CallerConnections(this.server, clock, { onFaulty: (error, socket) => this.connections.isAnswerDue(socket) ? socket.destroy() : handleClientError(error, socket) })
    this.app.use((req, res, next) => this.connections.begin(req, res) ? next() : res.destroy())
    metrics.gauge('entry_connections', () => this.connections.size)
  }

  async start (): Promise<void> {
    for (const route of this.added.collect(routePoint)) this.addRoute(route)
    this.app.noMatchHandler = (req, res) => refuse(req, res, { status: 404, code: 'no-such-path', detail: 'there is nothing at this path' })
    this.port = await listen(this.server, this.settings.listen.host, this.settings.listen.port)
    this.log.write('info', 'entry', 'listening', { port: this.port })
    this.members.update({ port: this.port })
    void this.configuration.waitForFirst().then(() => this.members.update({ ready: true }))
  }

  /**
   * Removes this daemon from the entry addresses, serves until no cached answer names it, then closes each connection after its last response.
   * Routes are served during all of this, whatever other parts drain meanwhile.
   */
  async drain (): Promise<void> {
    this.log.write('info', 'entry', 'leaving the entry addresses')
    await this.addresses.leave()
    this.log.write('info', 'entry', 'closing connections', { connections: this.connections.size })
    await this.connections.close()
  }

  private addRoute (route: HttpRoute): void {
    this.app[route.method](route.path, async (req: Request, res: Response) => {
      const caller = this.admit(route, req, res)
      if (caller === undefined) return
      try {
        await route.handle(req, res, caller)
      } catch (error) {
        this.log.write('error', 'entry', 'a route failed', { path: req.path, error: (error as Error).stack })
        sendProblem(res, { status: 500, code: 'internal', detail: 'an error of ours; its cause is in the log' })
      }
    })
  }

  private admit (route: HttpRoute, req: Request, res: Response): string | undefined {
    switch (route.access) {
      case 'public': return ''
      case 'operator': {
        if (isOperator(req, this.settings.operatorToken)) return ''
        break
      }
      case 'caller': {
        if (this.configuration.value.version === 0) {
          refuse(req, res, { status: 503, code: 'not-ready', detail: 'this daemon knows no configuration yet', retryAfter: NOT_READY_RETRY, more: { ran: 'not run' } })
          return undefined
        }
        const caller = authenticate(req, this.configuration.value)
        if (caller !== undefined) return caller
      }
    }
    refuse(req, res, { status: 401, code: 'wrong-token', detail: 'the bearer token is missing or not known' })
    return undefined
  }
}

/** Refuses a request whose body isn't read. */
function refuse (req: Request, res: Response, problem: Parameters<typeof sendProblem>[1]): void {
  dropBody(req)
  sendProblem(res, problem)
}

partRegistry.register({ name: 'entry', part: EntryServer, needs: ['configuration', 'dispatcher', 'peer links', 'members'] })
