import { inject, Lifecycle, scoped } from 'tsyringe'
import { Err, Ok, type Result } from 'ts-results'
import { request as sendRequest } from 'undici'
import type { Refusal } from '../admission/refusal.js'
import { Extensions } from '../kernel/extensions.js'
import type { Clock } from '../kernel/clock.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Random } from '../kernel/random.js'
import { tokens } from '../kernel/tokens.js'
import { Timeline } from '../observe/timeline.js'
import type { BackendServer } from './backend-server.js'
import { exchangeObserverPoint } from './exchange-observer-point.js'
import { chooseServer } from './choose-server.js'
import type { ServerAnswer } from './server-answer.js'
import type { ServerRequest } from './server-request.js'
import { Servers } from './servers.js'

const MAX_SENDS = 2
const RETRY_AFTER = 1_000

/** Sends requests to backend servers: chooses one, and tries another where that is safe. */
@scoped(Lifecycle.ContainerScoped)
export class Dispatcher {
  constructor (
    @inject(Servers) private readonly servers: Servers,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(tokens.random) private readonly random: Random,
    @inject(Extensions) private readonly added: Extensions,
    @inject(Timeline) private readonly timeline: Timeline
  ) {}

  /** Resolves when the answer's head has come. The body of the answer is the caller's to read and end. */
  async send (request: ServerRequest): Promise<Result<ServerAnswer, Refusal>> {
    const tried: string[] = []
    while (tried.length < MAX_SENDS) {
      const server = chooseServer(this.servers.inPool(request.pool), { random: this.random, limit: request.limit, excluded: tried })
      if (server === undefined) return Err(this.refuse(tried.length > 0))
      tried.push(server.name)
      const answer = await this.sendTo(server, request)
      if (answer.ok) return answer
      this.timeline.record({ part: 'routing', what: 'send failed', request: request.id, server: server.name, detail: answer.val })
      if (!request.idempotent || request.signal?.aborted === true) break
    }
    return Err({ cause: 'server failed', ran: 'unknown', retryAfter: this.random.spread(RETRY_AFTER), detail: 'no server gave a whole answer' })
  }

  private refuse (sent: boolean): Refusal {
    return { cause: 'overloaded', ran: sent ? 'unknown' : 'not run', retryAfter: this.random.spread(RETRY_AFTER), detail: 'every server is at its limit' }
  }

  /** Counts the exchange and tells the observers; the function it gives back ends it, once. */
  private begin (server: BackendServer, request: ServerRequest): (outcome: 'answered' | 'failed' | 'abandoned') => void {
    const observers = this.added.collect(exchangeObserverPoint)
    const release = this.servers.begin(server.name)
    let ended = false
    for (const observer of observers) observer.onBegin(request, server.name)
    return outcome => {
      if (ended) return
      ended = true
      release()
      for (const observer of observers) observer.onEnd(request, server.name, outcome)
    }
  }

  private async sendTo (server: BackendServer, request: ServerRequest): Promise<Result<ServerAnswer, string>> {
    const end = this.begin(server, request)
    this.timeline.record({ part: 'routing', what: 'sent', request: request.id, server: server.name })
    try {
      const { statusCode, headers, body } = await sendRequest(server.url + request.path, {
        method: request.method as 'POST',
        dispatcher: this.servers.agents[request.work],
        headers: { ...request.headers, 'x-request-id': request.id },
        body: request.body ?? null,
        signal: request.signal,
        headersTimeout: Math.max(1, request.deadline - this.clock.now())
      })
      return Ok({ server: server.name, status: statusCode, headers, body, end: whole => end(whole ? 'answered' : 'abandoned') })
    } catch (error) {
      end('failed')
      return Err((error as Error).message)
    }
  }
}

partRegistry.register({ name: 'dispatcher', part: Dispatcher, needs: ['servers'] })
