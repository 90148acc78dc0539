import { Agent, request } from 'undici'
import { failUnreachable } from '../kernel/unreachable.js'
import type { ApiAnswer } from './api-answer.js'
import type { ApiCall } from './api-call.js'
import type { ApiTransport } from './api-transport.js'

const MS_PER_SECOND = 1_000
const DEFAULT_RETRY_AFTER = 1_000
const LIMITED = 429
const OUT = 503
const SERVER_ERROR = 500
/** Errors before the first byte went out. */
const NOT_SENT = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'UND_ERR_CONNECT_TIMEOUT']

interface HttpCall { readonly method: 'GET' | 'PUT' | 'DELETE', readonly path: string, readonly body?: unknown }

/** Calls the platform over HTTP. */
export class HttpTransport implements ApiTransport {
  private readonly agent = new Agent({ connections: 16, keepAliveTimeout: 4_000 })
  /** A watch holds its connection; on the same ones it would keep other calls waiting. */
  private readonly watchAgent = new Agent({ connections: 8, keepAliveTimeout: 4_000 })

  constructor (private readonly base: string) {}

  async send (call: ApiCall, timeout: number): Promise<ApiAnswer> {
    const { method, path, body } = readHttpCall(call)
    try {
      const response = await request(this.base + path, {
        method,
        dispatcher: call.type === 'watch' ? this.watchAgent : this.agent,
        signal: AbortSignal.timeout(timeout),
        headers: { 'content-type': 'application/json' },
        body: body === undefined ? null : JSON.stringify(body)
      })
      const text = await response.body.text()
      return readAnswer(response.statusCode, Number(response.headers['retry-after']), text)
    } catch (error) {
      const { code, message } = error as Error & { code?: string }
      return { type: NOT_SENT.includes(code ?? '') ? 'not sent' : 'no answer', reason: message }
    }
  }

  async close (): Promise<void> {
    await Promise.all([this.agent.destroy(), this.watchAgent.destroy()])
  }
}

/** 503 says that the platform did nothing; after another server error a write may have taken effect. */
function readAnswer (status: number, retryAfter: number, text: string): ApiAnswer {
  if (status === LIMITED) return { type: 'limited', retryAfter: retryAfter > 0 ? retryAfter * MS_PER_SECOND : DEFAULT_RETRY_AFTER }
  if (status === OUT) return { type: 'out', reason: 'the platform refuses calls' }
  if (status >= SERVER_ERROR) return { type: 'no answer', reason: `status ${status}` }
  return { type: 'answered', status, body: text === '' ? undefined : JSON.parse(text) }
}

function readHttpCall (call: ApiCall): HttpCall {
  switch (call.type) {
    case 'get': return { method: 'GET', path: showPath(call) }
    case 'put': return { method: 'PUT', path: showPath(call), body: { value: call.value, version: call.version, writeId: call.writeId } }
    case 'delete': return { method: 'DELETE', path: `${showPath(call)}?version=${call.version}` }
    case 'list': return { method: 'GET', path: `/objects/${call.kind}?${new URLSearchParams({ prefix: call.prefix, after: call.after, limit: String(call.limit) })}` }
    case 'watch': return { method: 'GET', path: `/watch/${call.kind}?revision=${call.revision}&wait=${call.wait}` }
    case 'instances': return { method: 'GET', path: '/instances' }
    default: return failUnreachable(call)
  }
}

function showPath ({ kind, name }: { readonly kind: string, readonly name: string }): string {
  return `/objects/${kind}/${encodeURIComponent(name)}`
}
