import type { Refusal } from '../admission/refusal.js'
import { failUnreachable } from '../kernel/unreachable.js'
import { StreamPace } from '../placement/pace/stream-pace.js'
import type { AnswerHead } from './exchanges/answer-head.js'
import type { AnswerSink } from './exchanges/answer-sink.js'
import { AnswerBodies } from './answer-bodies.js'
import { listParts } from './blame/list-parts.js'
import { PartGate } from './blame/part-gate.js'
import { EventRun } from './streams/event-run.js'
import { isProgress } from './streams/is-progress.js'
import { RequestEnding } from './ending/request-ending.js'
import type { ForwardingTools } from './forwarding-tools.js'
import { hashRequest } from './hash-request.js'
import { judgeAnswer } from './exchanges/judge-answer.js'
import type { OpenExchange } from './exchanges/open-exchange.js'
import { planResend } from './plan-resend.js'
import type { OpenedExchange } from './exchanges/opened-exchange.js'
import { RequestOrigin } from './origins/request-origin.js'
import type { RoutedRequest } from './routed-request.js'
import type { SendFailure } from './exchanges/send-failure.js'
import { showAnswerHead } from './exchanges/show-answer-head.js'
import { SlotSearch } from './slot-search.js'

/** Longest waits for the first byte and for the next ones, ms, while another server may still run the request. */
const FIRST_BYTE_TIMEOUT = 900
const READ_TIMEOUT = 600
/** Mean of the retry delay suggested to a refused caller, ms. */
const RETRY_AFTER = 500
/** Lowest status that reports a failed run, and lowest one that isn't a success. */
const [SERVER_ERROR, REDIRECTED] = [500, 300]
/** Statuses below 500 that refuse a request which another server may accept: misdirected, too many requests. */
const REFUSED_HERE = [421, 429]

/**
 * Forwards one request to the servers of a service and relays the answer. Retries failed sends, joins the streams of
 * several runs into one, and refuses the request if no server answers it.
 */
export class Forwarding {
  private readonly tried: string[] = []
  private readonly fingerprint: string
  private readonly parts: readonly string[]
  private readonly abort = new AbortController()
  private timedOut = false
  /** Failed sends that the servers may have run. */
  private runs = 0
  /** Whether part of a stream has been relayed to the caller. */
  private begun = false
  private lastEventId: number | undefined
  private progressAt: number | undefined
  /** Of the last send, where an answer to it has begun. */
  private head: AnswerHead | undefined
  private readonly origin: RequestOrigin
  private readonly slots: SlotSearch
  private readonly ending: RequestEnding
  private readonly bodies: AnswerBodies

  constructor (private readonly request: RoutedRequest, private service: string, private readonly sink: AnswerSink, private readonly tools: ForwardingTools) {
    this.origin = new RequestOrigin(request, tools)
    this.parts = listParts(tools.dialect, request.headers)
    this.fingerprint = hashRequest({ caller: request.route.host, service, path: request.path, body: request.body })
    const gate = new PartGate({ ...tools, parts: this.parts, fingerprint: this.fingerprint, signal: this.abort.signal, refuse: detail => this.refuse('quarantined', detail) })
    this.bodies = new AnswerBodies({ memory: request.memory, getTimeout: () => this.getTimeout(READ_TIMEOUT) })
    this.ending = new RequestEnding({ request, tools, mayRefuse: () => this.runs === 0 && !this.begun, getRan: () => this.ran, abort: () => this.abort.abort() })
    this.slots = new SlotSearch({ request, tools, origin: this.origin, gate, signal: this.abort.signal, refuse: (cause, detail) => this.refuse(cause, detail), refuseLate: () => this.ending.refuseLate(), open: async server => await this.open(server) })
  }

  /** Resolves when the caller has its final answer. */
  async run (): Promise<void> {
    const { request, tools: { clock } } = this
    const onCallerLeft = (): void => this.abort.abort()
    request.signal.addEventListener('abort', onCallerLeft, { once: true })
    const cancel = clock.after(Math.max(0, request.deadline - clock.now()), () => {
      this.timedOut = true
      this.abort.abort()
    })
    const stop = this.ending.watch()
    try {
      await this.send()
    } finally {
      stop()
      cancel()
      this.slots.dropMoved(() => this.abort.abort())
      request.signal.removeEventListener('abort', onCallerLeft)
    }
  }

  private async send (): Promise<void> {
    const found = await this.origin.find(this.service)
    if (found.type === 'lost') return this.finish(this.refuse('no server', found.detail))
    this.service = found.service
    for (;;) {
      const slot = this.slots.takeMoved() ?? await this.ending.wait(async () => await this.slots.wait(this.state))
      if (slot === undefined) continue
      if ('cause' in slot) return this.finish(slot)
      const sentAt = this.tools.clock.now()
      this.head = undefined
      const opened = await slot.opened
      const failure = opened.err ? opened.val : await this.relay(opened.val)
      if (failure === undefined) return this.tools.queue.recordHoldTime(this.service, this.tools.clock.now() - sentAt, this.request.size)
      if (!this.plan(failure, slot.server)) return
      // A server that was full is mostly so for the next milliseconds as well; a request that has run can't be refused as not run.
      if (!failure.sent && this.runs > 0) await this.slots.pause()
    }
  }

  private async open (server: string): Promise<OpenedExchange> {
    const { clock, loads } = this.tools
    // A request that may not run elsewhere waits for as long as its caller; the silence counts against the server long before.
    const waits = this.getTimeout(FIRST_BYTE_TIMEOUT) > FIRST_BYTE_TIMEOUT
    const cancel = waits ? clock.after(FIRST_BYTE_TIMEOUT, () => loads.outcomes.record(server, true)) : () => {}
    try {
      return await this.sendTo(server)
    } finally {
      cancel()
    }
  }

  private async sendTo (server: string): Promise<OpenedExchange> {
    const { request, tools: { dialect, sender, servers, clock } } = this
    const target = servers.find(server)!
    this.origin.beginRecord(this.service, target.version)
    this.ending.beginRun()
    const resumeAfter = this.lastEventId === undefined ? request.resumeAfter : String(this.lastEventId)
    return await sender.send(target, {
      id: request.id,
      caller: request.route.host,
      service: this.service,
      pool: this.service,
      work: 'online',
      method: request.method,
      path: request.path,
      headers: { ...request.headers as Record<string, string>, ...dialect.buildHeaders({ instance: server, left: request.deadline - clock.now(), resumeAfter, caller: request.caller }) },
      body: request.body,
      parts: this.parts,
      idempotent: request.route.idempotent,
      isRepeated: this.tried.includes(server),
      deadline: request.deadline,
      limit: Infinity,
      signal: this.abort.signal
    }, { body: request.body ?? null, fingerprint: this.fingerprint, headerTimeout: this.getTimeout(FIRST_BYTE_TIMEOUT), onSilent: silence => { void this.slots.waitElsewhere(server, silence, () => this.state) } })
  }

  /** How long a server may be silent before another one is looked for, ms: `preferred` while another may run the request, otherwise until the deadline. */
  private getTimeout (preferred: number): number {
    const left = Math.max(1, this.request.deadline - this.tools.clock.now())
    return this.mayRetry() ? Math.min(preferred, left) : left
  }

  private get state (): Parameters<SlotSearch['wait']>[0] {
    return { service: this.service, tried: this.tried, progressAt: this.progressAt, mayRetry: this.mayRetry() }
  }

  private async relay (open: OpenExchange): Promise<SendFailure | undefined> {
    const { exchange, exchange: { status, headers } } = open
    const { request, tools: { dialect } } = this
    this.head = { status, id: dialect.readRequestId(headers), isWholeSent: exchange.isWholeSent() }
    const claim = judgeAnswer({ request: request.id, status, headers, dialect })
    switch (claim.type) {
      case 'foreign': return await this.fail(open, { why: 'cut', sent: true, detail: `the answer belongs to ${claim.id}` })
      case 'not run': return await this.handleNotRun(open)
      case 'unproved': return await this.handleUnproved(open, claim.detail)
      case 'run': return status >= REDIRECTED || !exchange.isStream() ? await this.relayWhole(open) : await this.relayEvents(open)
      default: return failUnreachable(claim)
    }
  }

  /** Relays a server's refusal if it concerns the request itself; otherwise returns a failure, so that another server is tried. */
  private async handleNotRun (open: OpenExchange): Promise<SendFailure | undefined> {
    const { status } = open.exchange
    const body = await this.bodies.read(open)
    if (body === undefined) return this.bodies.fail(open, 'its refusal broke off')
    open.end('answered')
    if (!this.begun && status < SERVER_ERROR && !REFUSED_HERE.includes(status)) {
      this.sink.answer(status, open.exchange.headers, body)
      return undefined
    }
    this.tools.loads.markFull(open.server.name)
    return { why: 'withheld', sent: false, detail: `status ${status}, not run` }
  }

  /** Treats an answer that promises more than its server said as a failed run. */
  private async handleUnproved (open: OpenExchange, detail: string): Promise<SendFailure> {
    await this.bodies.read(open)
    open.end('error')
    return { why: 'cut', sent: true, detail }
  }

  private async relayWhole (open: OpenExchange): Promise<SendFailure | undefined> {
    const { status, headers } = open.exchange
    const body = await this.bodies.read(open)
    if (body === undefined) return this.bodies.fail(open, 'the answer broke off')
    open.end(status >= SERVER_ERROR ? 'error' : 'answered')
    if (status >= SERVER_ERROR && this.mayRetry()) return { why: 'cut', sent: true, detail: `status ${status}` }
    // The caller already has a status and part of a stream, so that another status can't be relayed.
    if (this.begun) return { why: 'cut', sent: true, detail: `status ${status} to a resumed stream` }
    this.sink.answer(status, headers, body)
    this.recordAnswer(open)
    return undefined
  }

  private async relayEvents (open: OpenExchange): Promise<SendFailure | undefined> {
    const run = new EventRun(this.lastEventId, () => this.tools.clock.now())
    const pace = new StreamPace(this.tools.clock, (count, time) => this.tools.loads.intervals.record(open.server.name, count, time))
    for (;;) {
      const bytes = await open.exchange.read(this.getTimeout(this.lastEventId === undefined ? FIRST_BYTE_TIMEOUT : READ_TIMEOUT))
      if (bytes.err) return await this.fail(open, bytes.val)
      if (bytes.val === undefined) return await this.endEvents(open, run)
      const events = run.push(bytes.val)
      if (events.err) return await this.fail(open, { why: 'cut', sent: true, detail: events.val })
      if (events.val.length === 0) continue
      const freshCount = events.val.filter(isProgress).length
      if (freshCount > 0) {
        pace.record(freshCount)
        if (!await this.origin.record(this.service, open.server.version, this.request.deadline)) {
          open.end('abandoned')
          return { why: 'cut', sent: true, detail: 'the store can\'t record where the stream begins' }
        }
        this.lastEventId = run.last
        this.progressAt = this.tools.clock.now()
      }
      if (!this.begun) this.begin(open)
      await this.sink.write(Buffer.concat(events.val.map(event => event.bytes)), this.abort.signal)
    }
  }

  private begin ({ exchange: { status, headers } }: OpenExchange): void {
    this.begun = true
    this.tools.metrics.observe('first_event_ms', this.tools.clock.now() - this.request.arrived)
    this.sink.begin(status, headers)
  }

  private async endEvents (open: OpenExchange, run: EventRun): Promise<SendFailure | undefined> {
    const fault = run.findFault(open.exchange.framing)
    if (fault !== undefined) return await this.fail(open, { why: 'cut', sent: true, detail: fault })
    open.end('answered')
    if (!this.begun) this.begin(open)
    this.sink.end()
    this.recordAnswer(open)
    return undefined
  }

  private async fail (open: OpenExchange, failure: SendFailure): Promise<SendFailure> {
    void open.fail(failure)
    return { ...failure, sent: true }
  }

  /** Whether another server may run the request after this one has failed. */
  private mayRetry (): boolean {
    const { route: { idempotent, resumable, attempts } } = this.request
    return idempotent && (resumable || !this.begun) && this.runs + 1 < attempts && !this.abort.signal.aborted
  }

  /** Handles a failed send: returns whether to send again, and otherwise finishes the request. */
  private plan (failure: SendFailure, server: string): boolean {
    const { clock, log } = this.tools
    if (failure.sent) this.runs++
    const again = this.tried.includes(server)
    this.tried.push(server)
    const { route } = this.request
    const plan = planResend(failure, { idempotent: route.idempotent, resumable: route.resumable, begun: this.begun, runs: this.runs, attempts: route.attempts, sends: this.tried.length, abandoned: this.abort.signal.aborted })
    log.write('info', 'routing', 'a send failed', { request: this.request.id, server, version: this.tools.servers.find(server)?.version, startedAt: this.tools.servers.find(server)?.startedAt, why: failure.why, detail: failure.detail, sent: failure.sent, again, ...showAnswerHead(this.request.id, this.head), parts: this.parts, runs: this.runs, after: Math.round(clock.now() - this.request.arrived), next: plan })
    if (plan === 'send') return true
    this.finish(this.refuse(this.timedOut ? 'deadline' : failure.why === 'invalid' ? 'invalid request' : 'server failed', failure.detail))
    return false
  }

  /** Whether the request may have run. */
  private get ran (): Refusal['ran'] {
    return this.runs > 0 ? 'unknown' : 'not run'
  }

  private refuse (cause: Refusal['cause'], detail: string): Refusal {
    return { cause, ran: this.ran, retryAfter: this.tools.random.spread(RETRY_AFTER, 0.5), detail }
  }

  /** Logs the failure and sends the caller a refusal, or aborts the stream if it has begun. */
  private finish (reason: Refusal): void {
    const { log, clock } = this.tools
    const refusal = this.ending.findReason(reason)
    if (this.timedOut) this.ending.recordRun()
    const callerLeft = this.request.signal.aborted
    const outcome = callerLeft ? 'caller left' : this.timedOut ? 'deadline' : refusal.cause
    log.write('warn', 'routing', 'abandoned a request', { request: this.request.id, caller: this.request.caller, cause: outcome, ran: this.ran, begun: this.begun, waited: Math.round(clock.now() - this.request.arrived), tried: this.tried, detail: refusal.detail, prompt: refusal.part })
    this.tools.metrics.count('requests_total', { outcome })
    if (this.begun && !callerLeft) this.tools.metrics.count('requests_cut_total', { cause: outcome })
    if (this.begun) this.sink.abort()
    else if (!callerLeft) this.sink.refuse({ ...refusal, cause: this.timedOut ? 'deadline' : refusal.cause, ran: this.ran })
  }

  private recordAnswer ({ server, exchange: { status, framing }, sentAt }: OpenExchange): void {
    const { request: { id, caller, arrived }, tools: { log, clock, metrics, quarantine } } = this
    // A stream that went on elsewhere may have crashed its first server.
    if (status < SERVER_ERROR && this.runs === 0) quarantine.pass(this.fingerprint)
    log.write('info', 'routing', 'answered a request', { request: id, caller, service: this.service, server: server.name, version: server.version, startedAt: server.startedAt, status, tried: this.tried.length, sentAfter: Math.round(sentAt - arrived), after: Math.round(clock.now() - arrived), events: this.lastEventId, framing })
    metrics.count('requests_total', { outcome: 'answered' })
    if (status < REDIRECTED) this.ending.recordRun()
  }
}
