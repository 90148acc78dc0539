import { App } from '@tinyhttp/app'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { inject, Lifecycle, scoped } from 'tsyringe'
import { ConfigurationHolder } from '../config/configuration-holder.js'
import { FleetWatch } from '../fleet/fleet-watch.js'
import { createAppServer } from '../http/create-app-server.js'
import type { BodyWithoutEnd } from '../http/body-without-end.js'
import { dropBody } from '../http/drop-body.js'
import { listen } from '../http/listen.js'
import { sendJson } from '../http/send-json.js'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { planConnections } from '../kernel/plan-connections.js'
import type { Random } from '../kernel/random.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import type { LogSink } from '../observe/log-sink.js'
import { Metrics } from '../observe/metrics.js'
import type { Member } from '../peers/member.js'
import { Members } from '../peers/members.js'
import { CallerConnections } from './caller-connections.js'
import { drawMembers } from './draw-members.js'
import type { EntryDialect } from './entry-dialect.js'
import type { Endpoint } from './endpoint.js'
import type { RoutedSettings } from './routed-settings.js'

/** Most addresses in one answer: enough that callers find others when some fail, few enough that each daemon gets its share. */
const MAX_ADDRESSES = 32
/** Longest times for a head and for a whole request, and period of their checks, ms. */
const TIMEOUTS = { headersTimeout: 10_000, requestTimeout: 10_000, connectionsCheckingInterval: 1_000 }
const NOT_FOUND = 404
const NOT_READY = 503

type Handler = (req: IncomingMessage, res: ServerResponse) => void

/** A request and what answers it. */
interface Arrival {
  readonly req: IncomingMessage
  readonly res: ServerResponse
  readonly connections: CallerConnections
  readonly handle: Handler
}

/** Serves the lookup of entry addresses for callers, the readiness probe of the platform, and the metrics. */
@scoped(Lifecycle.ContainerScoped)
export class AddressLookup implements Part {
  private readonly servers: Server[] = []
  private leaving = false

  constructor (
    @inject(tokens.routedSettings) private readonly routed: RoutedSettings,
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(tokens.entryDialect) private readonly dialect: EntryDialect,
    @inject(ConfigurationHolder) private readonly configuration: ConfigurationHolder,
    @inject(FleetWatch) private readonly fleet: FleetWatch,
    @inject(Members) private readonly members: Members,
    @inject(Metrics) private readonly metrics: Metrics,
    @inject(tokens.log) private readonly log: LogSink,
    @inject(tokens.random) private readonly random: Random,
    @inject(tokens.clock) private readonly clock: Clock
  ) {}

  async start (): Promise<void> {
    const { readiness, addresses, metrics } = this.routed
    await this.serve(readiness, (req, res) => this.answerReadiness(req, res))
    await this.serve(addresses, (req, res) => this.answerAddresses(req, res))
    await this.serve(metrics, (_req, res) => { res.end(this.metrics.write()) })
    this.configuration.subscribe(() => this.updateReady())
    this.fleet.subscribe(() => this.updateReady())
    this.updateReady()
  }

  /** Reports this daemon as not ready from here on; requests in progress continue. */
  async drain (): Promise<void> {
    this.leaving = true
  }

  async stop (): Promise<void> {
    for (const server of this.servers) {
      server.close()
      server.closeAllConnections()
    }
  }

  private get isReady (): boolean {
    return !this.leaving && this.configuration.value.version > 0 && this.fleet.hasServers
  }

  private updateReady (): void {
    if (this.members.self.ready !== this.isReady) this.members.update({ ready: this.isReady })
  }

  private async serve ({ host, port }: Endpoint, handle: Handler): Promise<void> {
    const app = new App()
    const server = createAppServer(app, TIMEOUTS)
    const connections = new CallerConnections(server, this.clock, { limit: planConnections(this.settings.descriptors).server, onFull: outcome => this.metrics.count('entry_connections_full_total', { outcome }), onEndless: error => this.recordEndless(error) })
    app.use((req, res) => { void this.answer({ req, res, connections, handle }) })
    this.servers.push(server)
    await listen(server, host, port)
  }

  private async answer ({ req, res, connections, handle }: Arrival): Promise<void> {
    if (!connections.begin(req, res)) {
      res.destroy()
      return
    }
    dropBody(req)
    const turn = connections.waitForTurn(req)
    if (turn === undefined || await turn) handle(req, res)
  }

  private recordEndless ({ code }: BodyWithoutEnd): void {
    this.metrics.count('entry_faulty_connections_total', { code })
    this.log.write('info', 'entry', 'closed a connection without a whole request', { code })
  }

  private answerReadiness (req: IncomingMessage, res: ServerResponse): void {
    if (!this.dialect.isReadinessProbe(req)) return sendJson(res, NOT_FOUND, {})
    sendJson(res, this.isReady ? 200 : NOT_READY, {})
  }

  private answerAddresses (req: IncomingMessage, res: ServerResponse): void {
    const request = this.dialect.readAddressRequest(req)
    if (request === undefined) return sendJson(res, NOT_FOUND, {})
    const open = this.members.all().filter(member => this.isOpen(member))
    if (open.length === 0) return sendJson(res, NOT_READY, {})
    const addresses = drawMembers(open, { count: MAX_ADDRESSES, random: this.random }).map(({ instance }) => `${instance.host}:${instance.port}`)
    sendJson(res, 200, this.dialect.showAddresses(addresses, this.routed.addressKeep))
  }

  /** Whether callers may use the member: it has sent a message itself, is ready and isn't leaving. */
  private isOpen ({ instance, state, ready, run }: Member): boolean {
    if (instance.name === this.settings.instance) return this.isReady
    return run > 0 && ready && state === 'alive' && instance.port > 0
  }
}

partRegistry.register({ name: 'address lookup', part: AddressLookup, needs: ['members', 'fleet watch', 'routed entry'] })
