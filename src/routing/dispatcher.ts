import { inject, Lifecycle, scoped } from 'tsyringe'
import { Err, Ok, type Result } from 'ts-results'
import type { Refusal } from '../admission/refusal.js'
import { ConfigurationHolder } from '../config/configuration-holder.js'
import type { Model } from '../config/model.js'
import { RetryBudget } from '../coordination/retry-budget.js'
import type { Clock } from '../kernel/clock.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Random } from '../kernel/random.js'
import { tokens } from '../kernel/tokens.js'
import { chooseServer } from './servers/choose-server.js'
import { Delivery } from './delivery.js'
import type { ModelRequest } from './model-request.js'
import { ModelStream } from './streams/model-stream.js'
import { ModelTimes } from './servers/model-times.js'
import type { OpenExchange } from './exchanges/open-exchange.js'
import { Quarantine } from './quarantine/quarantine.js'
import { readModelRequest } from './read-model-request.js'
import { Sender } from './exchanges/sender.js'
import type { ServerAnswer } from './exchanges/server-answer.js'
import type { ServerRequest } from './exchanges/server-request.js'
import { Servers } from './servers/servers.js'
import { Trials } from './quarantine/trials.js'
import { readWholeAnswer } from './exchanges/read-whole-answer.js'

/** What the requests of one pool share: their retry budget and observed answer times. */
interface PoolState { readonly budget: RetryBudget, readonly times: ModelTimes }

/** Sends requests to the backend servers of a pool, and to another server after a failure if that is safe. */
@scoped(Lifecycle.ContainerScoped)
export class Dispatcher {
  private readonly pools = new Map<string, PoolState>()

  constructor (
    @inject(Servers) private readonly servers: Servers,
    @inject(Sender) private readonly sender: Sender,
    @inject(Quarantine) private readonly quarantine: Quarantine,
    @inject(Trials) private readonly trials: Trials,
    @inject(ConfigurationHolder) private readonly configuration: ConfigurationHolder,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(tokens.random) private readonly random: Random
  ) {}

  /** Whether a server of the pool has capacity for the request now. */
  hasCapacity ({ pool, limit }: ServerRequest): boolean {
    return chooseServer(this.servers.inPool(pool), { random: this.random, limit }) !== undefined
  }

  /** Whether any server of the pool accepts requests, though it may be at its limit. */
  isOpen (pool: string): boolean {
    return this.servers.inPool(pool).some(({ leaving, limit }) => !leaving && limit > 0)
  }

  /**
   * Resolves when the answer is complete or, for a stream or a long one, has begun. The caller has to read the body and
   * call `end`. Resolves with a refusal as `overloaded` and `not run` without waiting if no server has capacity.
   */
  async send (request: ServerRequest): Promise<Result<ServerAnswer, Refusal>> {
    const { budget, times } = this.readPool(request.pool)
    const modelRequest = readModelRequest(request)
    const model = this.findModel(request.service)
    const { servers, sender, quarantine, trials, clock, random } = this
    const delivery = new Delivery(request, { servers, sender, quarantine, trials, clock, random, budget }, {
      key: modelRequest === undefined ? undefined : `${request.service}\0${modelRequest.prefix}`,
      getTimeout: left => modelRequest?.stream === true && model !== undefined ? times.getFirstTokenTimeout(model) : left / 2,
      retryWait: this.configuration.value.limits.queueWait
    })
    const opened = await delivery.open(request.body ?? null)
    if (opened.err) return opened
    if (modelRequest !== undefined && model !== undefined && opened.val.exchange.isStream()) return Ok(this.answerStream(opened.val, delivery, modelRequest, model, times))
    return await this.answerWhole(opened.val, delivery, model)
  }

  private answerStream (first: OpenExchange, delivery: Delivery, modelRequest: ModelRequest, model: Model, times: ModelTimes): ServerAnswer {
    const stream = new ModelStream(first, {
      delivery,
      model: modelRequest,
      canResume: model.resume === true,
      getTimeout: tokens => tokens === 0 ? times.getFirstTokenTimeout(model) : times.getTokenGapTimeout(model),
      onTokens: ({ server }, tokens, isFirst, wait) => {
        if (isFirst) times.recordFirstToken(wait)
        else times.recordTokenGap(wait / tokens)
        if (isFirst) this.servers.recordLatencyRatio(server.name, wait / model.firstToken, delivery.request.limit)
      },
      now: () => this.clock.now()
    })
    const { status, headers } = first.exchange
    return {
      server: first.server.name,
      status,
      headers,
      body: stream.body,
      end: whole => stream.end(whole),
      countTokens: () => stream.countTokens(),
      findFailure: () => stream.failure?.cause
    }
  }

  private async answerWhole (first: OpenExchange, delivery: Delivery, model: Model | undefined): Promise<Result<ServerAnswer, Refusal>> {
    for (let open = first; ;) {
      const read = await readWholeAnswer(open, () => delivery.getTimeout())
      if (read.ok) {
        const { body, tokens } = read.val
        const { server, exchange: { status, headers } } = open
        if (model !== undefined && tokens > 0) this.servers.recordLatencyRatio(server.name, (this.clock.now() - open.sentAt) / (model.firstToken + tokens * model.betweenTokens), delivery.request.limit)
        const end = (whole: boolean): void => {
          open.end(whole ? 'answered' : 'abandoned')
          delivery.end(whole && status < 500)
        }
        return Ok({ server: server.name, status, headers, body, end, countTokens: () => tokens })
      }
      await open.fail(read.val)
      const refusal = delivery.plan(read.val)
      if (refusal !== undefined) return Err(refusal)
      const next = await delivery.open(delivery.request.body ?? null)
      if (next.err) return next
      open = next.val
    }
  }

  private findModel (service: string): Model | undefined {
    const { services, models } = this.configuration.value
    return models[services[service]?.model ?? '']
  }

  private readPool (pool: string): PoolState {
    const known = this.pools.get(pool) ?? { budget: new RetryBudget(), times: new ModelTimes() }
    this.pools.set(pool, known)
    return known
  }
}

partRegistry.register({ name: 'dispatcher', part: Dispatcher, needs: ['servers', 'quarantine', 'trials'] })
