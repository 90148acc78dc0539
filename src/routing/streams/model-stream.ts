import { Readable } from 'node:stream'
import { Err, type Result } from 'ts-results'
import type { Refusal } from '../../admission/refusal.js'
import type { Delivery } from '../delivery.js'
import type { ModelRequest } from '../model-request.js'
import type { OpenExchange } from '../exchanges/open-exchange.js'
import type { SendFailure } from '../exchanges/send-failure.js'
import { SseReader } from './sse-reader.js'
import { formatStreamError } from './format-stream-error.js'
import { stepProgress } from './step-progress.js'
import type { StreamProgress } from './stream-progress.js'

const DONE = 'data: [DONE]\n\n'
/** Time within which the body must end after `[DONE]` for its connection to be reused, ms. */
const END_TIMEOUT = 100

interface ModelStreamOptions {
  readonly delivery: Delivery
  readonly model: ModelRequest
  /** Whether the servers can continue an answer from given tokens. */
  readonly canResume: boolean
  /** Returns the timeout for the next token, ms, given the tokens received from this server. */
  readonly getTimeout: (tokens: number) => number
  /** Is called after each read with tokens: their number, whether they are the server's first, and the wait for them in ms. */
  readonly onTokens: (exchange: OpenExchange, tokens: number, first: boolean, wait: number) => void
  readonly now: () => number
}

/**
 * A streamed answer of a model, relayed to its caller. If the server fails or stops sending, the answer is continued from
 * the same token at another server, so that no text is repeated or changed. If it can't be continued, it ends with an
 * `error` event and without `[DONE]`.
 */
export class ModelStream {
  readonly body: Readable
  /** Why the stream ended incomplete. */
  failure?: Refusal
  private readonly tokens: string[] = []
  private progress: StreamProgress = { tokenCount: 0, earlierTokenCount: 0, finished: false, done: false, resumable: true }

  constructor (private current: OpenExchange, private readonly options: ModelStreamOptions) {
    this.body = Readable.from(this.relay(), { objectMode: false })
  }

  countTokens (): number {
    return Math.max(this.progress.usage ?? 0, this.progress.tokenCount)
  }

  end (whole: boolean): void {
    const answered = whole && this.failure === undefined
    this.current.end(answered ? 'answered' : 'abandoned')
    this.options.delivery.end(answered)
  }

  private async * relay (): AsyncGenerator<string> {
    for (;;) {
      const failure = yield * this.relayExchange()
      if (failure === undefined) return
      await this.current.fail(failure)
      const next = await this.resume(failure)
      if (next.err) {
        this.failure = next.val
        yield formatStreamError(next.val)
        return
      }
      this.current = next.val
    }
  }

  /** Relays one server's part of the answer; returns the failure that ended it, if any. */
  private async * relayExchange (): AsyncGenerator<string, SendFailure | undefined> {
    const reader = new SseReader()
    let received = 0
    while (!this.progress.done) {
      const readAt = this.options.now()
      const bytes = await this.current.exchange.read(this.options.getTimeout(received))
      const failure = bytes.err ? bytes.val : bytes.val === undefined ? { why: 'cut', sent: true, detail: 'it ended before it was whole' } as const : undefined
      if (failure !== undefined) return yield * this.finish(failure)
      const knownCount = this.progress.tokenCount
      const relayed = this.processBytes(reader, bytes.unwrap()!)
      const newCount = this.progress.tokenCount - knownCount
      if (newCount > 0) this.options.onTokens(this.current, newCount, received === 0, this.options.now() - (received === 0 ? this.current.sentAt : readAt))
      received += newCount
      if (relayed !== '') yield relayed
      if (reader.isOverlong) return { why: 'cut', sent: true, detail: 'an event has no end' }
    }
    await this.current.exchange.read(END_TIMEOUT)
    return undefined
  }

  /** Handles a failed read: completes the answer if only `[DONE]` is missing, and otherwise returns the failure. */
  private async * finish (failure: SendFailure): AsyncGenerator<string, SendFailure | undefined> {
    const isUsageMissing = this.options.model.includeUsage && this.progress.usage === undefined
    if (!this.progress.finished || isUsageMissing || failure.why === 'abandoned') return failure
    this.progress = { ...this.progress, done: true }
    await this.current.fail(failure)
    yield DONE
    return undefined
  }

  private processBytes (reader: SseReader, bytes: Buffer): string {
    let relayed = ''
    for (const event of reader.push(bytes)) {
      const { progress, relay = '', token } = stepProgress(this.progress, event)
      if (token !== undefined) this.tokens.push(token)
      this.progress = progress
      relayed += relay
    }
    return relayed
  }

  private async resume (failure: SendFailure): Promise<Result<OpenExchange, Refusal>> {
    const { delivery, model, canResume } = this.options
    const { tokenCount, resumable } = this.progress
    const started = tokenCount > 0
    if (this.progress.finished) return Err(delivery.refuse('server failed', 'the answer was cut before its usage came'))
    if (started && !(canResume && resumable)) return Err(delivery.refuse('server failed', `the answer was cut (${failure.why}) and its servers can't resume it`))
    const refusal = delivery.plan(failure)
    if (refusal !== undefined) return Err(refusal)
    const next = await delivery.open(started ? model.resume(this.tokens) : delivery.request.body ?? null)
    this.progress = { ...this.progress, earlierTokenCount: tokenCount }
    if (next.err || next.val.exchange.isStream()) return next
    next.val.end('abandoned')
    return Err(delivery.refuse('server failed', `the next server answered ${next.val.exchange.status}`))
  }
}
