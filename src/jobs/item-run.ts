import type { Clock } from '../kernel/clock.js'
import type { EventIntervals } from '../placement/pace/event-intervals.js'
import { StreamPace } from '../placement/pace/stream-pace.js'
import { EventRun } from '../routing/streams/event-run.js'
import { isProgress } from '../routing/streams/is-progress.js'
import { judgeAnswer } from '../routing/exchanges/judge-answer.js'
import type { OpenExchange } from '../routing/exchanges/open-exchange.js'
import { readToEnd } from '../routing/exchanges/read-to-end.js'
import type { SendFailure } from '../routing/exchanges/send-failure.js'
import type { Sender } from '../routing/exchanges/sender.js'
import type { ServerDialect } from '../routing/exchanges/server-dialect.js'
import type { Servers } from '../routing/servers/servers.js'
import { buildItemHeaders } from './build-item-headers.js'
import type { ItemOutcome } from './item-outcome.js'
import type { ItemState } from './item-state.js'

/** Timeouts until the first event, which doubles with each unsuccessful run that brought none, and between two events, ms. */
const FIRST_EVENT_TIMEOUT = 1_500
const EVENT_TIMEOUT = 1_000
const DEADLINE = 600_000
/** How long an answer may go on without a new event, or without its end, ms, though bytes arrive. */
const PROGRESS_TIMEOUT = 30_000
/** Longest body of an answer that is no stream, bytes: only its status counts, and whether it is whole. */
const MAX_ERROR_BYTES = 65_536
const UNPROCESSABLE = 422
const SERVER_ERROR = 500
const FIRST_REDIRECTION = 300

interface ItemRunOptions {
  readonly state: ItemState
  /** The parts of the item's prompt that other requests may share. */
  readonly parts: readonly string[]
  readonly host: string
  /** The caller that submitted the job; undefined where requests need no key. */
  readonly caller: string | undefined
  readonly pool: string
  readonly server: string
  /** Checked immediately before the first byte is sent; where it returns false, nothing is sent. */
  readonly mayStart: () => boolean
  readonly clock: Clock
  readonly sender: Sender
  readonly servers: Servers
  /** Where the intervals between its events are recorded. */
  readonly intervals: Pick<EventIntervals, 'record'>
  readonly dialect: ServerDialect
}

/** One run of an item on one server. It resumes after the last event of the previous run and can be stopped at any time. */
export class ItemRun {
  private readonly abort = new AbortController()

  constructor (private readonly options: ItemRunOptions) {}

  get server (): string {
    return this.options.server
  }

  stop (): void {
    this.abort.abort()
  }

  async run (): Promise<ItemOutcome> {
    const { state: { item, last, version = '', answeredBy }, parts, host, caller, pool, server, clock, sender, servers, dialect, mayStart } = this.options
    const target = servers.find(server)
    if (target === undefined) return { type: 'lost', detail: 'the server is unknown' }
    if (last !== undefined && target.version !== version) return { type: 'lost', detail: 'the server has another version' }
    const body = Buffer.from(item.body, 'base64')
    const opened = await sender.send(target, {
      id: item.id,
      caller: host,
      service: pool,
      pool,
      work: 'batch',
      method: 'POST',
      path: item.path,
      headers: { ...buildItemHeaders(item), host, ...dialect.buildHeaders({ instance: server, resumeAfter: last === undefined ? undefined : String(last), caller }) },
      body,
      parts,
      idempotent: true,
      isRepeated: answeredBy?.has(server),
      deadline: clock.now() + DEADLINE,
      limit: Infinity,
      signal: this.abort.signal,
      paced: true,
      mayStart
    }, { body, fingerprint: item.id, headerTimeout: this.firstEventTimeout })
    if (opened.err) return this.describeUnopened(opened.val)
    try {
      return await this.read(opened.val)
    } catch (error) {
      void opened.val.fail({ why: 'cut', sent: true, detail: (error as Error).message })
      throw error
    }
  }

  private describeUnopened ({ why, detail }: SendFailure): ItemOutcome {
    const isUnsent = why === 'withheld' || why === 'closed'
    return isUnsent && !this.abort.signal.aborted ? { type: 'withheld', detail: why } : this.describeLoss(detail)
  }

  /** Servers that all need longer for a first event than a run waits would otherwise run the item without end. */
  private get firstEventTimeout (): number {
    return Math.min(PROGRESS_TIMEOUT, FIRST_EVENT_TIMEOUT * 2 ** this.options.state.losses)
  }

  private async read (open: OpenExchange): Promise<ItemOutcome> {
    const { status, headers } = open.exchange
    const { dialect, clock, state } = this.options
    const claim = judgeAnswer({ request: state.item.id, status, headers, dialect })
    if (claim.type === 'foreign') return this.fail(open, `the response belongs to request ${claim.id}`)
    if (status < FIRST_REDIRECTION && open.exchange.isStream()) return await this.readEvents(open)
    state.answeredBy = (state.answeredBy ?? new Set()).add(this.server)
    const end = clock.now() + PROGRESS_TIMEOUT
    const body = await readToEnd(open.exchange, { getTimeout: () => Math.min(EVENT_TIMEOUT, Math.max(0, end - clock.now())), maxBytes: MAX_ERROR_BYTES })
    open.end(body.ok ? 'answered' : 'abandoned')
    if (claim.type === 'not run' && body.ok) return { type: 'refused' }
    if (status === UNPROCESSABLE) return { type: 'impossible' }
    return status === SERVER_ERROR ? { type: 'failed' } : { type: 'lost', detail: `status ${status}` }
  }

  private async readEvents (open: OpenExchange): Promise<ItemOutcome> {
    const { state, clock, intervals } = this.options
    const run = new EventRun(state.last, () => clock.now())
    const pace = new StreamPace(clock, (count, time) => intervals.record(open.server.name, count, time))
    let progressAt = clock.now()
    for (let timeout = this.firstEventTimeout; ; timeout = EVENT_TIMEOUT) {
      const bytes = await open.exchange.read(timeout)
      if (bytes.err) return this.fail(open, bytes.val.detail)
      if (bytes.val === undefined) return this.endEvents(open, run)
      const events = run.push(bytes.val)
      if (events.err) return this.fail(open, events.val)
      const fresh = events.val.filter(isProgress)
      if (fresh.length === 0 && clock.now() >= progressAt + PROGRESS_TIMEOUT) return this.fail(open, 'no new event for too long')
      if (fresh.length === 0) continue
      pace.record(fresh.length)
      progressAt = clock.now()
      state.progressAt = progressAt
      state.last = run.last
      state.version ??= open.server.version
      state.texts.push(...fresh.map(({ data }) => data))
      state.losses = 0
    }
  }

  /** A run whose end nothing marks is followed by another from its last event, which tells whether there are more. */
  private endEvents (open: OpenExchange, run: EventRun): ItemOutcome {
    const { state } = this.options
    const { framing } = open.exchange
    const isConfirmed = run.isAtBoundary && state.last !== undefined && state.unmarkedEnd === state.last
    const fault = isConfirmed ? undefined : run.findFault(framing)
    if (fault !== undefined) return this.fail(open, fault)
    open.end('answered')
    if (framing !== 'connection' || isConfirmed) return { type: 'completed' }
    state.unmarkedEnd = state.last
    return { type: 'lost', detail: 'nothing marks its end' }
  }

  private fail (open: OpenExchange, detail: string): ItemOutcome {
    void open.fail({ why: this.abort.signal.aborted ? 'abandoned' : 'cut', sent: true, detail })
    return this.describeLoss(detail)
  }

  private describeLoss (detail: string): ItemOutcome {
    return this.abort.signal.aborted ? { type: 'stopped' } : { type: 'lost', detail }
  }
}
