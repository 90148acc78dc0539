import { buildConnector, request, type Agent } from 'undici'
import { createAgent } from '../http/create-agent.js'
import { HeldBody } from '../http/held-body.js'
import { OriginUse } from '../http/origin-use.js'
import { readFraming } from '../http/read-framing.js'
import { SteadyPool } from '../http/steady-pool.js'
import type { ApiAnswer } from './api-answer.js'
import type { ApiCall } from './api-call.js'
import type { ApiTransport } from './api-transport.js'
import type { HttpCall } from './http-call.js'
import { waitOrAbort } from './wait-or-abort.js'
import { plainDialect } from './plain-dialect.js'
import type { StoreDialect } from './store-dialect.js'

const MS_PER_SECOND = 1_000
/** Limit for opening a connection, ms; leaves room for one retransmission of a lost packet, which takes a second. */
const CONNECT_TIMEOUT = 1_500
/** How long an idle connection is kept for reuse, ms. */
const KEEP_ALIVE = 4_000
/** Longest body of an answer, bytes: several times an object of the longest length. */
const MAX_ANSWER = 16_777_216
const DEFAULT_RETRY_AFTER = 1_000
const LIMITED = 429
const OUT = 503
const SERVER_ERROR = 500
/** Codes of errors that occur before the first byte is sent. */
const NOT_SENT_CODES = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'UND_ERR_CONNECT_TIMEOUT']

/** Calls the platform over HTTP. */
export class HttpTransport implements ApiTransport {
  private readonly use = new OriginUse(KEEP_ALIVE)
  private readonly agent = createAgent({
    factory: (origin, options) => new SteadyPool(origin, options),
    connections: 16,
    maxResponseSize: MAX_ANSWER,
    keepAliveTimeout: KEEP_ALIVE,
    connect: this.use.measure(buildConnector({ timeout: CONNECT_TIMEOUT }))
  })

  /** Watches occupy their connections for long, so that they have their own. */
  private readonly watchAgent = createAgent({ connections: 8, maxResponseSize: MAX_ANSWER, keepAliveTimeout: KEEP_ALIVE, connectTimeout: CONNECT_TIMEOUT })

  constructor (private readonly base: string, private readonly dialect: StoreDialect = plainDialect) {}

  async send (call: ApiCall, timeout: number, abort?: AbortSignal): Promise<ApiAnswer> {
    const dispatcher = call.type === 'watch' ? this.watchAgent : this.agent
    // A signal of `AbortSignal.any` doesn't keep one of `AbortSignal.timeout` from the garbage collector, and is then never aborted.
    const end = new AbortController()
    const timer = setTimeout(() => end.abort(new Error('The operation was aborted due to timeout')), timeout)
    const onAbort = (): void => end.abort(abort!.reason)
    abort?.addEventListener('abort', onAbort, { once: true })
    if (abort?.aborted === true) onAbort()
    try {
      return await this.dialect.send(call, async httpCall => await this.exchange(httpCall, { dispatcher, signal: end.signal }))
    } catch (error) {
      // Thrown for an answer that isn't in the platform's format; no caller expects an error of a read.
      return { type: 'no answer', reason: `the answer can't be decoded: ${(error as Error).message}` }
    } finally {
      clearTimeout(timer)
      abort?.removeEventListener('abort', onAbort)
    }
  }

  async close (): Promise<void> {
    await Promise.all([this.agent.destroy(), this.watchAgent.destroy()])
  }

  private async exchange ({ method, path, body }: HttpCall, { dispatcher, signal }: { readonly dispatcher: Agent, readonly signal: AbortSignal }): Promise<ApiAnswer> {
    const getHoldTime = this.use.planHold(new URL(this.base).origin, performance.now())
    const bytes = body === undefined ? undefined : Buffer.from(JSON.stringify(body))
    const held = bytes === undefined ? undefined : new HeldBody(bytes, { getHoldTime })
    try {
      const sent = request(this.base + path, {
        method,
        dispatcher,
        signal,
        headers: { 'content-type': 'application/json', ...bytes === undefined ? {} : { 'content-length': String(bytes.length) } },
        body: (held ?? null) as unknown as Buffer | null
      })
      const response = await waitOrAbort(sent, signal)
      held?.onAnswer()
      const text = await response.body.text()
      if (text === '' && readFraming({ method, status: response.statusCode, headers: response.headers }) === 'connection') return { type: 'no answer', reason: 'its body was cut' }
      return readAnswer(response.statusCode, Number(response.headers['retry-after']), text)
    } catch (error) {
      const { code, message } = error as Error & { code?: string }
      return { type: NOT_SENT_CODES.includes(code ?? '') ? 'not sent' : 'no answer', reason: message }
    } finally {
      held?.onEnd()
    }
  }
}

/** With 503 the platform has done nothing; with any other server error a write may have taken effect. */
function readAnswer (status: number, retryAfter: number, text: string): ApiAnswer {
  if (status === LIMITED) return { type: 'limited', retryAfter: retryAfter > 0 ? retryAfter * MS_PER_SECOND : DEFAULT_RETRY_AFTER }
  if (status === OUT) return { type: 'out', reason: 'the platform refuses calls' }
  if (status >= SERVER_ERROR) return { type: 'no answer', reason: `status ${status}` }
  return { type: 'answered', status, body: text === '' ? undefined : JSON.parse(text) }
}
