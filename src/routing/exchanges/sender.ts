import { inject, Lifecycle, scoped } from 'tsyringe'
import { Err, Ok, type Result } from 'ts-results'
import { Extensions } from '../../kernel/extensions.js'
import type { Clock } from '../../kernel/clock.js'
import { tokens } from '../../kernel/tokens.js'
import { Timeline } from '../../observe/timeline/timeline.js'
import type { BackendServer } from '../servers/backend-server.js'
import { PartBlame } from '../blame/part-blame.js'
import type { PartRun } from '../blame/part-run.js'
import { Exchange } from './exchange.js'
import type { ExchangeOutcome } from './exchange-outcome.js'
import { exchangeObserverPoint } from './exchange-observer-point.js'
import { hasProcessExited } from '../servers/has-process-exited.js'
import { isServerGone } from '../servers/is-server-gone.js'
import type { OpenExchange } from './open-exchange.js'
import { Quarantine } from '../quarantine/quarantine.js'
import type { SendFailure } from './send-failure.js'
import type { ServerDialect } from './server-dialect.js'
import type { ServerRequest } from './server-request.js'
import type { Silence } from './silence.js'
import { ServerViews } from '../servers/server-views.js'
import { Servers } from '../servers/servers.js'

/** Statuses that report an unavailable server. A 500 isn't among them, as the request itself may cause it. */
const UNAVAILABLE_STATUSES = [502, 503, 504]

const FIRST_SUCCESS = 200
const FIRST_REDIRECTION = 300

interface Begun { readonly exchange: Exchange, readonly fingerprint: string, readonly run: PartRun | undefined, /** Whether its sender looks for another server while this one is silent. */ readonly movesItself: boolean }

interface SendOptions {
  readonly body: Buffer | null
  readonly fingerprint: string
  /** Longest wait for the answer's status and headers, ms. */
  readonly headerTimeout: number
  /** Called when the server is silent for a timeout; without it, the exchange is abandoned then, or earlier if the server is found down. */
  readonly onSilent?: (silence: Silence) => void
}

/** Sends a request to a server and reports the exchange to server health, quarantine and observers. */
@scoped(Lifecycle.ContainerScoped)
export class Sender {
  private readonly probes = new Map<string, Promise<void>>()
  /** Exchanges in flight of idempotent requests, with their servers. */
  private readonly repeatable = new Map<Exchange, string>()

  constructor (
    @inject(Servers) private readonly servers: Servers,
    @inject(Quarantine) private readonly quarantine: Quarantine,
    @inject(PartBlame) private readonly blame: PartBlame,
    @inject(Extensions) private readonly extensions: Extensions,
    @inject(Timeline) private readonly timeline: Timeline,
    @inject(ServerViews) views: ServerViews,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(tokens.serverDialect, { isOptional: true }) private readonly dialect?: Pick<ServerDialect, 'report'>
  ) {
    quarantine.subscribeLosses((server, ago) => servers.recordExit(server, ago))
    views.subscribe(({ server, state }) => { if (state === 'down') this.abandonRepeatable(server) })
  }

  /** Sends the request. Counts it at the server before the first await, so that the choice of the server still holds. */
  async send (server: BackendServer, request: ServerRequest, { body, fingerprint, headerTimeout, onSilent }: SendOptions): Promise<Result<OpenExchange, SendFailure>> {
    const work = request.paced === true ? 'paced' : request.work
    const exchange = new Exchange({
      clock: this.clock,
      agent: (request.isRepeated === true ? this.servers.singleUseAgents : this.servers.agents)[work],
      origin: server.url,
      path: request.path,
      method: request.method,
      headers: { ...request.headers, 'x-request-id': request.id },
      body,
      getHoldTime: request.isRepeated === true ? undefined : this.servers.planHold(server.url, work),
      signal: request.signal,
      isServerOpen: () => this.servers.isOpen(server),
      mayStart: request.mayStart,
      hasServerExited: async () => await hasProcessExited(server, this.dialect?.report),
      onSilent
    })
    const run = request.parts === undefined || request.parts.length === 0 ? undefined : this.blame.begin(request.parts, server.name, () => exchange.isSent())
    const open = this.begin(server, request, { exchange, fingerprint, run, movesItself: onSilent !== undefined })
    this.timeline.record({ part: 'routing', what: 'sent', request: request.id, server: server.name })
    const opened = await exchange.open(headerTimeout)
    if (opened.ok) {
      run?.open()
      return Ok(open)
    }
    await open.fail(opened.val)
    return Err(opened.val)
  }

  /** If the server's process has exited, waits for the other daemons' reports of what they had in flight there. */
  async waitIfServerLost ({ name, url }: BackendServer): Promise<void> {
    if (await isServerGone(url)) await this.quarantine.waitForLossReports(name)
  }

  private begin (server: BackendServer, request: ServerRequest, { exchange, fingerprint, run, movesItself }: Begun): OpenExchange {
    const observers = this.extensions.collect(exchangeObserverPoint)
    // Batch requests are preempted by online requests, so they don't count towards a server's online limit.
    const release = request.work === 'online' ? this.servers.begin(server.name) : () => {}
    const forget = this.quarantine.begin(fingerprint, server.name, () => exchange.isSent())
    for (const observer of observers) observer.onBegin(request, server.name)
    if (request.idempotent && !movesItself) this.repeatable.set(exchange, server.name)
    let ended = false
    const end = (outcome: ExchangeOutcome): void => {
      if (ended) return
      ended = true
      this.repeatable.delete(exchange)
      if (outcome === 'answered' || outcome === 'error') {
        this.quarantine.onServerAnswered(server.name)
        this.servers.recordOutcome(server.name, outcome === 'error' || UNAVAILABLE_STATUSES.includes(exchange.status) ? 'failed' : 'answered')
      } else exchange.abandon('abandoned')
      run?.end(outcome === 'answered' && exchange.status >= FIRST_SUCCESS && exchange.status < FIRST_REDIRECTION ? 'passed' : 'ended')
      forget()
      release()
      for (const observer of observers) observer.onEnd(request, server.name, outcome)
    }
    const fail = async (failure: SendFailure): Promise<void> => {
      if (ended) return
      this.timeline.record({ part: 'routing', what: 'send failed', request: request.id, server: server.name, detail: `${failure.why}: ${failure.detail}` })
      if (failure.why === 'abandoned' || failure.why === 'withheld' || failure.why === 'closed' || failure.why === 'invalid') return end('abandoned')
      this.servers.recordOutcome(server.name, failure.why === 'unreachable' ? 'unreachable' : 'failed')
      if (failure.why === 'cut') await this.probe(server)
      end('failed')
    }
    return { server, exchange, sentAt: this.clock.now(), end, fail }
  }

  /**
   * Abandons the exchanges that may be sent again at a server that its owner found down. A paused server keeps its
   * connections open, and a request for a complete answer would otherwise wait for half the time to its deadline.
   */
  private abandonRepeatable (server: string): void {
    for (const [exchange, name] of this.repeatable) if (name === server) exchange.abandon('silent')
  }

  /**
   * Probes a server after a cut connection, which alone doesn't tell a lost server from a lost connection. All exchanges
   * cut at the same time wait for one probe, so that each still counts as in flight when the loss is confirmed.
   */
  private async probe (server: BackendServer): Promise<void> {
    const running = this.probes.get(server.url) ?? this.confirmLoss(server).finally(() => this.probes.delete(server.url))
    this.probes.set(server.url, running)
    await running
  }

  private async confirmLoss (server: BackendServer): Promise<void> {
    if (!await isServerGone(server.url)) return
    this.servers.recordOutcome(server.name, 'unreachable')
    this.quarantine.onServerLost(server.name)
    this.blame.onServerLost(server.name)
  }
}
