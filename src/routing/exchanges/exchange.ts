import { Err, Ok, type Result } from 'ts-results'
import type { Dispatcher } from 'undici'
import type { AnswerFraming } from '../../http/answer-framing.js'
import { HeldBody } from '../../http/held-body.js'
import { readFraming } from '../../http/read-framing.js'
import type { Clock } from '../../kernel/clock.js'
import { BodyReader } from './body-reader.js'
import { isUnsendable } from './is-unsendable.js'
import type { SendFailure } from './send-failure.js'
import type { Silence } from './silence.js'

interface ExchangeOptions {
  readonly clock: Clock
  readonly agent: Dispatcher
  readonly origin: string
  /** Path and query, sent unchanged: URL normalization could turn it into another resource. */
  readonly path: string
  readonly method: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer | null
  /** Returns how long the last byte of the body is held back, ms; see `HeldBody`. */
  readonly getHoldTime?: () => number | undefined
  readonly signal?: AbortSignal
  /** Whether the server takes new requests; checked right before the first byte is written, after all waits for a connection. */
  readonly isServerOpen?: () => boolean
  /** Checked right before the first byte is written, and before a last byte that was held back; if it returns false, no more is sent. */
  readonly mayStart?: () => boolean
  /** Returns whether the server's process has exited; asked at a regular end of the connection that nothing else marks. */
  readonly hasServerExited?: () => Promise<boolean>
  /** Called when no byte has arrived within a timeout; without it, the exchange is abandoned. */
  readonly onSilent?: (silence: Silence) => void
}

/** Lowest status of an error. */
const CLIENT_ERROR = 400
/** The server name of TLS, which plain HTTP doesn't use; without one undici examines the `Host` header, slowly at first. */
const PLAIN_HTTP = { servername: 'none' }

/**
 * One request to a backend server and its answer. Abandoning it closes its connection: a connection with an unfinished
 * answer never returns to the pool, so that a late answer can't be read as the answer to another request.
 */
export class Exchange {
  status = 0
  headers: Readonly<Record<string, string | string[] | undefined>> = {}
  private readonly sendState = { sent: false, mayStart: () => this.confirmStart() }
  private readonly abort = new AbortController()
  private body?: BodyReader
  private readonly requestBody: HeldBody | undefined
  private failureReason: SendFailure['why'] = 'cut'

  constructor (private readonly options: ExchangeOptions) {
    const { signal, body, getHoldTime } = options
    this.requestBody = body === null || body.length === 0 ? undefined : new HeldBody(body, { getHoldTime, mayFinish: () => this.confirmStart() })
    if (signal === undefined) return
    const onAbort = (): void => this.abandon('abandoned')
    if (signal.aborted) onAbort()
    else signal.addEventListener('abort', onAbort, { once: true, signal: this.abort.signal })
  }

  /** Sends the request and waits up to `timeout` ms for the answer's status and headers, or longer as `onSilent` decides. */
  async open (timeout: number): Promise<Result<void, SendFailure>> {
    const { agent, origin, path, method, headers, body } = this.options
    const length = this.requestBody === undefined ? {} : { 'content-length': String(body!.length) }
    return await this.withTimeout(timeout, async () => {
      const answer = await agent.request({
        origin,
        path,
        method: method as 'POST',
        headers: { ...headers, ...length },
        body: (this.requestBody ?? body) as Buffer | null,
        signal: this.abort.signal,
        opaque: this.sendState,
        headersTimeout: 0,
        bodyTimeout: 0,
        ...PLAIN_HTTP
      })
      this.requestBody?.onAnswer(answer.statusCode >= CLIENT_ERROR)
      this.status = answer.statusCode
      this.headers = answer.headers
      this.body = new BodyReader(answer.body)
    })
  }

  /** Returns the next bytes of the body, undefined at its end; fails as `silent` if none arrive within `timeout` ms, or when `onSilent` decides. */
  async read (timeout: number): Promise<Result<Buffer | undefined, SendFailure>> {
    return await this.withTimeout(timeout, async () => {
      this.abort.signal.throwIfAborted()
      const bytes = await this.body!.read()
      if (bytes !== undefined) return bytes
      this.requestBody?.onEnd()
      await this.checkEnd()
      return undefined
    })
  }

  /** How the end of the answer's body is marked. */
  get framing (): AnswerFraming {
    return readFraming({ method: this.options.method, status: this.status, headers: this.headers })
  }

  /** Whether the answer is a stream of server-sent events. */
  isStream (): boolean {
    return this.status < 300 && String(this.headers['content-type']).startsWith('text/event-stream')
  }

  /** Whether any byte of the request may have been sent. */
  isSent (): boolean {
    return this.sendState.sent
  }

  /** Whether all bytes of the request may have been sent. */
  isWholeSent (): boolean {
    return this.sendState.sent && this.requestBody?.isSent !== false
  }

  /** Aborts the exchange and closes its connection. Has no effect after its end. */
  abandon (why: 'silent' | 'abandoned'): void {
    this.failureReason = why
    this.abort.abort()
    this.requestBody?.onEnd()
  }

  /** Fails if only the connection marks the end and the server's process has exited: the system closes its connections regularly. */
  private async checkEnd (): Promise<void> {
    if (this.framing === 'connection' && await this.options.hasServerExited?.() === true) throw new Error('its server exited')
  }

  private confirmStart (): boolean {
    const hindrance = this.findHindrance()
    if (hindrance !== undefined) this.failureReason = hindrance
    return hindrance === undefined
  }

  private findHindrance (): 'closed' | 'withheld' | undefined {
    // Once it is partly sent, its connection decides.
    if (!this.sendState.sent && this.options.isServerOpen?.() === false) return 'closed'
    return this.options.mayStart?.() === false ? 'withheld' : undefined
  }

  private findReason (error: Error): SendFailure['why'] {
    if (this.sendState.sent || this.failureReason !== 'cut') return this.failureReason
    return isUnsendable(error, this.options.origin) ? 'invalid' : 'unreachable'
  }

  private async withTimeout<T> (timeout: number, wait: () => Promise<T>): Promise<Result<T, SendFailure>> {
    // Few waits last that long, and creating and aborting a signal takes much of the processor time of an event.
    let arrival: AbortController | undefined
    const cancel = this.options.clock.after(timeout, () => {
      arrival = new AbortController()
      this.handleSilence(arrival.signal)
    })
    try {
      return Ok(await wait())
    } catch (error) {
      return Err({ sent: this.sendState.sent, why: this.findReason(error as Error), detail: (error as Error).message })
    } finally {
      cancel()
      arrival?.abort()
    }
  }

  private handleSilence (signal: AbortSignal): void {
    const abandon = (): void => this.abandon('silent')
    if (this.options.onSilent === undefined) abandon()
    else this.options.onSilent({ abandon, signal })
  }
}
