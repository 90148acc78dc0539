import type { Request, Response } from '@tinyhttp/app'
import { randomUUID } from 'node:crypto'
import { pipeline } from 'node:stream/promises'
import { inject, Lifecycle, scoped } from 'tsyringe'
import type { AccountEntry } from '../admission/account/account-entry.js'
import { Account } from '../admission/account/account.js'
import { Gate } from '../admission/gate.js'
import { ConfigurationHolder } from '../config/configuration-holder.js'
import type { Service } from '../config/service.js'
import { dropBody } from '../http/drop-body.js'
import { readBody } from '../http/read-body.js'
import { sendJson } from '../http/send-json.js'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { tokens } from '../kernel/tokens.js'
import { Timeline } from '../observe/timeline/timeline.js'
import type { ServerAnswer } from '../routing/exchanges/server-answer.js'
import type { ServerRequest } from '../routing/exchanges/server-request.js'
import { findAccountEntry } from './find-account-entry.js'
import type { KeyedOutcome } from './keyed-outcome.js'
import { KeyedRequests } from './keyed-requests.js'
import type { HttpRoute } from './http-route.js'
import { routePoint } from './route-point.js'
import { sendKeyedOutcome } from './send-keyed-outcome.js'
import { sendProblem } from './send-problem.js'
import { sendRefusal } from './send-refusal.js'

const PLAIN_LIMIT = 64 // requests in flight per server
const KEY_LENGTH = 255
const STREAM_TYPE = 'text/event-stream'

interface Target { readonly name: string, readonly service: Service, readonly path: string }

/** Routes for online requests: the OpenAI interface for models, and /services/NAME/… for plain services. */
@scoped(Lifecycle.ContainerScoped)
export class OnlineRoutes implements Part {
  readonly extensions = ([
    this.completionRoute('/v1/chat/completions'),
    this.completionRoute('/v1/completions'),
    { method: 'get', path: '/v1/models', access: 'caller', handle: (_req, res) => this.listModels(res) },
    { method: 'all', path: '/services/:name/*', access: 'caller', handle: async (req, res, caller) => await this.callService(req, res, caller) }
  ] satisfies HttpRoute[]).map(route => routePoint.of(route))

  constructor (
    @inject(ConfigurationHolder) private readonly configuration: ConfigurationHolder,
    @inject(Gate) private readonly gate: Gate,
    @inject(KeyedRequests) private readonly keyed: KeyedRequests,
    @inject(Account) private readonly account: Account,
    @inject(Timeline) private readonly timeline: Timeline,
    @inject(tokens.clock) private readonly clock: Clock
  ) {}

  private completionRoute (path: string): HttpRoute {
    return { method: 'post', path, access: 'caller', handle: async (req, res, caller) => await this.complete(req, res, caller, path) }
  }

  private listModels (res: Response): void {
    const data = Object.entries(this.configuration.value.services)
      .filter(([, { kind }]) => kind === 'model')
      .map(([id]) => ({ id, object: 'model', created: 0, owned_by: 'citronwheel' }))
    sendJson(res, 200, { object: 'list', data })
  }

  private async complete (req: Request, res: Response, caller: string, path: string): Promise<void> {
    const body = await this.readBody(req, res)
    if (body === undefined) return
    const model = readModel(body)
    const service = this.configuration.value.services[model ?? '']
    if (model === undefined || service?.kind !== 'model') {
      return sendProblem(res, { status: 400, code: 'no-such-model', detail: `model: ${model === undefined ? 'must be named in a JSON body' : `there is no ${model}`}` })
    }
    await this.forward(req, res, caller, { name: model, service, path }, body)
  }

  private async callService (req: Request, res: Response, caller: string): Promise<void> {
    const name = req.params.name!
    const service = this.configuration.value.services[name]
    if (service?.kind !== 'plain') {
      dropBody(req)
      return sendProblem(res, { status: 404, code: 'no-such-service', detail: `there is no plain service ${name}` })
    }
    const body = await this.readBody(req, res)
    if (body === undefined) return
    await this.forward(req, res, caller, { name, service, path: req.url.slice(`/services/${name}`.length) }, body)
  }

  private async readBody (req: Request, res: Response): Promise<Buffer | undefined> {
    const limit = this.configuration.value.limits.bodyBytes
    const body = await readBody(req, limit)
    if (body.ok) return body.val
    sendProblem(res, { status: 413, code: 'body-too-large', detail: `the body is over the limit of ${limit} bytes` })
    return undefined
  }

  private async forward (req: Request, res: Response, caller: string, { name, service, path }: Target, body: Buffer): Promise<void> {
    const id = String(req.headers['x-request-id'] ?? randomUUID())
    const { limits, models } = this.configuration.value
    const disconnected = new AbortController()
    res.setHeader('x-request-id', id)
    res.on('close', () => disconnected.abort())
    const asked = this.clock.now()
    this.account.count(caller, name, 'online', { type: 'asked' })
    this.timeline.record({ part: 'entry', what: 'asked', request: id, detail: `${caller} for ${name}` })
    const request: ServerRequest = {
      id,
      caller,
      service: name,
      pool: service.pool,
      work: 'online',
      method: req.method!,
      path,
      headers: { 'content-type': String(req.headers['content-type'] ?? 'application/json') },
      body: body.length === 0 ? undefined : body,
      idempotent: service.idempotent,
      deadline: this.clock.now() + limits.deadline,
      limit: models[service.model ?? '']?.maxInFlight ?? PLAIN_LIMIT,
      signal: disconnected.signal
    }
    const key = req.headers['idempotency-key']
    if (key !== undefined) return await this.sendKeyed(res, request, String(key), asked)
    const answer = await this.gate.send(request)
    if (answer.ok) return await this.relay(answer.val, res, { id, caller, service: name, asked })
    this.account.count(caller, name, 'online', { type: 'refused', cause: answer.val.cause })
    const { cause, ran, detail } = answer.val
    this.timeline.record({ part: 'entry', what: 'refused', request: id, detail: `${cause}, ${ran}: ${detail}` })
    sendRefusal(res, answer.val)
  }

  /** Sends a request with an idempotency key, which is never repeated, even where its service is idempotent. */
  private async sendKeyed (res: Response, request: ServerRequest, key: string, asked: number): Promise<void> {
    const { id, caller, service } = request
    if (key.length === 0 || key.length > KEY_LENGTH) {
      this.account.count(caller, service, 'online', { type: 'refused', cause: 'bad key' })
      return sendProblem(res, { status: 400, code: 'bad-key', detail: `idempotency-key: must have 1 to ${KEY_LENGTH} characters`, more: { ran: 'not run' } })
    }
    const outcome = await this.keyed.send(request, key)
    await sendKeyedOutcome(res, outcome)
    this.account.count(caller, service, 'online', findKeyedAccountEntry(outcome, res, this.clock.now() - asked))
    this.timeline.record({ part: 'entry', what: outcome.type, request: id })
  }

  /** Relays the answer. If its body is cut, the caller's connection is destroyed, so that the response doesn't look complete. */
  private async relay (answer: ServerAnswer, res: Response, { id, caller, service, asked }: { readonly id: string, readonly caller: string, readonly service: string, readonly asked: number }): Promise<void> {
    const { 'content-type': type, 'content-length': length } = answer.headers
    if (type !== undefined) res.setHeader('content-type', type)
    if (length !== undefined) res.setHeader('content-length', length)
    res.writeHead(answer.status)
    let first: number | undefined
    if (String(type).startsWith(STREAM_TYPE)) answer.body.once('data', () => { first = this.clock.now() - asked })
    try {
      await pipeline(answer.body, res)
      answer.end(true)
      const failure = answer.findFailure?.()
      const whole = this.clock.now() - asked
      this.account.count(caller, service, 'online', findAccountEntry({ status: answer.status, failure, tokens: answer.countTokens?.() ?? 0, first, whole }))
      this.timeline.record({ part: 'entry', what: failure ?? 'answered', request: id })
      if (failure !== undefined) res.req.socket.end()
    } catch {
      answer.end(false)
      res.destroy()
      this.account.count(caller, service, 'online', { type: 'failed', cause: 'cut' })
      this.timeline.record({ part: 'entry', what: 'cut', request: id })
    }
  }
}

/** Returns the accounting entry of a keyed request whose response has ended. Tokens count for the run, not for replays of its answer. */
function findKeyedAccountEntry (outcome: KeyedOutcome, res: Response, whole: number): AccountEntry {
  if (outcome.type !== 'answered') return { type: 'refused', cause: outcome.type === 'refused' ? outcome.refusal.cause : outcome.type }
  const { status, body, run } = outcome
  const isCut = !Buffer.isBuffer(body) && !res.writableFinished
  return findAccountEntry({ status, failure: isCut ? 'cut' : run?.findFailure?.(), tokens: run?.countTokens?.() ?? 0, whole })
}

function readModel (body: Buffer): string | undefined {
  try {
    const { model } = JSON.parse(body.toString())
    return typeof model === 'string' ? model : undefined
  } catch {
    return undefined
  }
}

partRegistry.register({ name: 'online routes', part: OnlineRoutes, needs: ['dispatcher'] })
