import type { BackendServer } from '../../routing/servers/backend-server.js'
import { hashRequest } from '../../routing/hash-request.js'
import type { OpenExchange } from '../../routing/exchanges/open-exchange.js'
import { readToEnd } from '../../routing/exchanges/read-to-end.js'
import type { SendFailure } from '../../routing/exchanges/send-failure.js'
import type { Sender } from '../../routing/exchanges/sender.js'
import type { ServerRequest } from '../../routing/exchanges/server-request.js'
import { SseReader } from '../../routing/streams/sse-reader.js'
import type { BatchAnswer } from './batch-answer.js'
import type { BatchOutcome } from './batch-outcome.js'
import type { BatchWork } from './batch-work.js'
import { isStreamable } from './is-streamable.js'
import { showBatchAnswer } from './show-batch-answer.js'
import { stepBatchAnswer } from './step-batch-answer.js'

/**
 * Longest wait for the first tokens and for each further read, ms, so that an unresponsive server doesn't hold a slot
 * forever.
 */
const FIRST_TOKEN_TIMEOUT = 30_000
const NEXT_TOKEN_TIMEOUT = 5_000
const RUN_TIMEOUT = 600_000
/** Statuses below 500 that mean that the server can't serve the item now; others mean that the item is invalid. */
const RETRYABLE_STATUSES = [408, 429]

interface BatchRunOptions {
  readonly work: BatchWork
  readonly server: BackendServer
  readonly path: string
  readonly sender: Sender
  readonly now: () => number
  /** Whether the engine can resume from given tokens. */
  readonly canResume: boolean
  /** Called after each read that yielded tokens; `gap` is the wait for them in ms, undefined for the first read. */
  readonly onTokens: (gap: number | undefined) => void
}

/** One run of a batch item on one server, over a connection reserved for batch work. */
export class BatchRun {
  private readonly abort = new AbortController()
  private readonly streamed: boolean
  private answer: BatchAnswer
  private stopsAfterRead = false

  constructor (private readonly options: BatchRunOptions) {
    const { work, canResume } = options
    this.streamed = isStreamable(work.item.body)
    const kept = this.streamed && canResume ? work.resumeFrom ?? [] : []
    this.answer = { tokens: kept, resumed: kept.length, done: false }
  }

  /**
   * Closes the stream; `run` then resolves with the tokens so far. With `afterRead` the stream is closed right after
   * its next tokens, unless they are its last. Closed at any other time, it may just have ended at the server, and the
   * finished item would run again; right after a read, a whole engine step remains before the next one.
   */
  stop ({ afterRead = false } = {}): void {
    if (afterRead) this.stopsAfterRead = true
    else this.abort.abort()
  }

  async run (): Promise<BatchOutcome> {
    const request = this.buildRequest()
    const { sender, server } = this.options
    const opened = await sender.send(server, request, { body: request.body!, fingerprint: this.hash(), headerTimeout: FIRST_TOKEN_TIMEOUT })
    if (opened.err) return this.buildUnopenedOutcome(opened.val)
    const { exchange } = opened.val
    const failure = exchange.isStream() ? await this.readStream(opened.val) : undefined
    if (failure !== undefined) return await this.fail(opened.val, failure)
    if (!this.answer.done) return await this.readUnstreamed(opened.val)
    opened.val.end('answered')
    return { type: 'finished', result: { type: 'completed', status: exchange.status, body: showBatchAnswer(this.answer, this.options.path.includes('chat')) } }
  }

  private buildRequest (): ServerRequest {
    const { work, path, now } = this.options
    const resume = this.answer.resumed > 0 ? { resume_from: this.answer.tokens } : {}
    const stream = this.streamed ? { stream: true, stream_options: { include_usage: true } } : { stream: false }
    return {
      id: work.id,
      caller: work.caller,
      service: work.service,
      pool: this.options.server.pool,
      work: 'batch',
      method: 'POST',
      path,
      headers: { 'content-type': 'application/json' },
      body: Buffer.from(JSON.stringify({ ...work.item.body, ...stream, ...resume })),
      idempotent: work.idempotent,
      deadline: now() + RUN_TIMEOUT,
      limit: Infinity,
      signal: AbortSignal.any([work.signal, this.abort.signal]),
      mayStart: () => work.mayStart()
    }
  }

  /** Returns the item's fingerprint, which doesn't depend on how the item is run. */
  private hash (): string {
    const { work: { caller, service, item }, path } = this.options
    return hashRequest({ caller, service, path, body: Buffer.from(JSON.stringify({ ...item.body, stream: false })) })
  }

  /** Reads until `[DONE]`; returns the failure that occurred before it, if any. */
  private async readStream (open: OpenExchange): Promise<SendFailure | undefined> {
    const reader = new SseReader()
    for (let last: number | undefined; !this.answer.done;) {
      const bytes = await open.exchange.read(last === undefined ? FIRST_TOKEN_TIMEOUT : NEXT_TOKEN_TIMEOUT)
      if (bytes.err) return bytes.val
      if (bytes.val === undefined) return { why: 'cut', sent: true, detail: 'the stream ended before [DONE]' }
      const tokenCount = this.answer.tokens.length
      for (const { data } of reader.push(bytes.val)) {
        const next = stepBatchAnswer(this.answer, data)
        if (next === undefined) return { why: 'cut', sent: true, detail: 'an event is not a valid chunk' }
        this.answer = next
      }
      if (reader.isOverlong) return { why: 'cut', sent: true, detail: 'an event has no end' }
      const now = this.options.now()
      if (this.answer.tokens.length === tokenCount) continue
      this.options.onTokens(last === undefined ? undefined : now - last)
      last = now
      if (this.stopsAfterRead && this.answer.finish === undefined) this.stop()
    }
    return undefined
  }

  private async readUnstreamed (open: OpenExchange): Promise<BatchOutcome> {
    const whole = await readToEnd(open.exchange, { getTimeout: () => FIRST_TOKEN_TIMEOUT })
    if (whole.err) return await this.fail(open, whole.val)
    const { status } = open.exchange
    const body = parse(whole.val.toString())
    if (body === undefined || status >= 500 || RETRYABLE_STATUSES.includes(status)) return await this.fail(open, { why: 'cut', sent: true, detail: `status ${status}` })
    open.end('answered')
    if (status < 300) return { type: 'finished', result: { type: 'completed', status, body } }
    return { type: 'finished', result: { type: 'failed', cause: `status-${status}`, detail: String(body.error?.message ?? body.detail) } }
  }

  private async fail (open: OpenExchange, failure: SendFailure): Promise<BatchOutcome> {
    await open.fail(failure)
    return this.buildStoppedOutcome(true)
  }

  private buildUnopenedOutcome ({ why, sent, detail }: SendFailure): BatchOutcome {
    if (why === 'invalid') return { type: 'finished', result: { type: 'failed', cause: 'invalid request', detail } }
    if (why === 'closed') return { type: 'withheld' }
    return why === 'unreachable' || why === 'withheld' ? { type: why } : this.buildStoppedOutcome(sent)
  }

  private buildStoppedOutcome (ran: boolean): BatchOutcome {
    return { type: 'stopped', ran, tokens: this.options.canResume ? this.answer.tokens : [] }
  }
}

function parse (text: string): any {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
