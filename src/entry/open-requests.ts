import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Clock } from '../kernel/clock.js'
import type { LogSink } from '../observe/log-sink.js'
import type { Metrics } from '../observe/metrics.js'

interface OpenRequestsOptions {
  readonly clock: Pick<Clock, 'now'>
  readonly log: LogSink
  readonly metrics: Pick<Metrics, 'count'>
  /** Returns the id that the caller gave the request. */
  readonly readId: (req: IncomingMessage) => string
}

/** The callers' requests without a whole answer. Logs and counts those whose connections this daemon closes. */
export class OpenRequests {
  private readonly open = new Map<ServerResponse, { readonly req: IncomingMessage, readonly arrived: number }>()

  constructor (private readonly options: OpenRequestsOptions) {}

  /** Keeps a request until its connection closes or its answer is complete. */
  add (req: IncomingMessage, res: ServerResponse): void {
    this.open.set(res, { req, arrived: this.options.clock.now() })
    res.once('close', () => this.open.delete(res))
  }

  /**
   * Records that the connections of requests are about to be closed without a whole answer: all of them, or those on one connection.
   *
   * @example
   * requests.recordCuts('shutdown')
   */
  recordCuts (cause: 'shutdown' | 'malformed bytes' | 'error', connection?: ServerResponse['socket']): void {
    const { clock, log, metrics, readId } = this.options
    for (const [res, { req, arrived }] of this.open) {
      if (connection !== undefined && res.socket !== connection) continue
      metrics.count('requests_cut_total', { cause })
      log.write('warn', 'entry', 'cut a request', { request: readId(req), cause, begun: res.headersSent, waited: Math.round(clock.now() - arrived) })
    }
  }
}
