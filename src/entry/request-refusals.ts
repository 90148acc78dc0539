import type { IncomingMessage, ServerResponse } from 'node:http'
import { dropBody } from '../http/drop-body.js'
import { sendJson } from '../http/send-json.js'
import type { Random } from '../kernel/random.js'
import type { LogSink } from '../observe/log-sink.js'
import type { Metrics } from '../observe/metrics.js'
import { buildEndRefusal } from '../routing/ending/build-end-refusal.js'
import { buildMemoryRefusal } from './build-memory-refusal.js'
import { sendRoutedRefusal } from './send-routed-refusal.js'

const UNAUTHORIZED = 401
const NOT_FOUND = 404
const TOO_SLOW = 408
const TOO_LARGE = 413
/** Relative spread of the retry delay while this daemon has no configuration yet. */
const NOT_READY_SPREAD = 0.3

interface RefusalTools {
  readonly log: LogSink
  readonly metrics: Pick<Metrics, 'count'>
  readonly random: Pick<Random, 'spread'>
}

interface RefusedRequest {
  /** As its caller named it. */
  readonly id: string
  readonly req: IncomingMessage
  readonly res: ServerResponse
}

/** Refuses requests before they are forwarded, each with its line in the log; what is left of their bodies is dropped. */
export class RequestRefusals {
  constructor (private readonly tools: RefusalTools) {}

  /** Refuses a request whose bytes there is no memory for. The connection is closed, since the rest of its body may be long. */
  refuseWithoutMemory ({ id, req, res }: RefusedRequest): void {
    this.record('warn', 'refused a request for want of memory', 'no memory', { request: id, path: req.url })
    closeAfterAnswer(res)
    sendRoutedRefusal(res, buildMemoryRefusal(this.tools.random))
  }

  /** Refuses a request that wouldn't end before this process does. */
  refuseLate ({ id, req, res }: RefusedRequest): void {
    dropBody(req)
    this.record('info', 'refused a request that would not end before this daemon does', 'draining', { request: id, path: req.url })
    sendRoutedRefusal(res, buildEndRefusal(this.tools.random, 'not run'))
  }

  /** Refuses a request whose body isn't whole when its time is over. */
  refuseSlow ({ id, req, res }: RefusedRequest): void {
    this.record('info', 'refused a request whose body was not whole in time', 'slow body', { request: id, path: req.url })
    closeAfterAnswer(res)
    sendJson(res, TOO_SLOW, { cause: 'slow body', ran: 'not run', detail: 'the body was not whole when the time of the request was over' })
  }

  /** Refuses a request whose body is over `limit` bytes. */
  refuseTooLarge ({ res }: RefusedRequest, limit: number): void {
    sendJson(res, TOO_LARGE, { cause: 'body too large', detail: `over ${limit} bytes` })
  }

  /** Refuses a request that no route of the configuration takes. */
  refuseUnrouted ({ id, req, res }: RefusedRequest, route: { readonly host: string, readonly path: string, readonly configuration: number }): void {
    this.tools.log.write('info', 'entry', 'found no route', { request: id, ...route })
    dropBody(req)
    sendJson(res, NOT_FOUND, { cause: 'no route', detail: 'no route takes this host and path' })
  }

  /** Refuses a request whose key no caller has. */
  refuseUnknownKey ({ req, res }: RefusedRequest, configuration: number): void {
    dropBody(req)
    this.tools.log.write('info', 'entry', 'refused an unknown key', { path: req.url, configuration })
    sendJson(res, UNAUTHORIZED, { cause: 'unknown key', detail: 'no caller has this key' })
  }

  /** Refuses a request while the configuration isn't known. */
  refuseUnready ({ req, res }: RefusedRequest, retryAfter: number): void {
    dropBody(req)
    sendRoutedRefusal(res, { cause: 'platform', ran: 'not run', retryAfter: this.tools.random.spread(retryAfter, NOT_READY_SPREAD), detail: 'this daemon knows no configuration yet, or can\'t tell whether it is the newest' })
  }

  private record (level: 'info' | 'warn', message: string, outcome: string, details: object): void {
    this.tools.log.write(level, 'entry', message, { ...details })
    this.tools.metrics.count('requests_total', { outcome })
  }
}

function closeAfterAnswer (res: ServerResponse): void {
  res.removeHeader('keep-alive')
  res.setHeader('connection', 'close')
}
