import type { Refusal } from '../admission/refusal.js'
import { givenUpRefusal } from '../placement/given-up-refusal.js'
import type { PlacementRequest } from '../placement/placement-request.js'
import type { PartGate } from './blame/part-gate.js'
import { buildPlacementTerms } from './build-placement-terms.js'
import type { OpenedExchange } from './exchanges/opened-exchange.js'
import type { Silence } from './exchanges/silence.js'
import type { StartedSend } from './exchanges/started-send.js'
import type { ForwardingTools } from './forwarding-tools.js'
import type { RequestOrigin } from './origins/request-origin.js'
import type { RoutedRequest } from './routed-request.js'

/** Mean pause after a slot was refused or couldn't be used, ms. */
const ASK_AGAIN = 150
/** Silence after which a request may begin again at the same server, ms: its connection may be lost. */
const SAME_SERVER_SILENCE = 2_000
/** How long a request that a server has had waits at one group of servers, ms. */
const MAX_TURN = 500
/** Time within which a stream that has begun is to go on, ms, counted from each time it asks for a slot. */
const GO_ON_WITHIN = 1_000
/** How long a request whose server is silent asks for another slot before the silence counts against the server, ms. */
const REPORT_SILENCE = 100

interface SlotSearchOptions {
  readonly request: RoutedRequest
  readonly tools: ForwardingTools
  readonly origin: RequestOrigin
  readonly gate: PartGate
  /** Aborted when the caller has left or the deadline has passed. */
  readonly signal: AbortSignal
  readonly refuse: (cause: Refusal['cause'], detail: string) => Refusal
  /** Returns a refusal where the request may no longer start. */
  readonly refuseLate: () => Refusal | undefined
  /** Sends the request; counts it at the server before it returns. */
  readonly open: (server: string) => Promise<OpenedExchange>
}

/** What has become of the request so far. */
interface SendState {
  readonly service: string
  readonly tried: readonly string[]
  /** When the last event of a stream was relayed to the caller, monotonic ms; undefined before the first. */
  readonly progressAt: number | undefined
  /** Whether another server may run it after the one that has it, or that had it last. */
  readonly mayRetry: boolean
  /** A server that must not get it. */
  readonly excluded?: string
}

type Start = (server: string) => StartedSend | Refusal | undefined

/** Finds slots for one request. A send starts in the same turn of the event loop in which its slot is granted. */
export class SlotSearch {
  private moved: StartedSend | undefined

  constructor (private readonly options: SlotSearchOptions) {}

  /** Waits for a slot; undefined if it must be asked for again: the request must wait for its parts, or its stream has begun and may not end here. */
  async wait (state: SendState): Promise<StartedSend | Refusal | undefined> {
    const { gate, origin, signal } = this.options
    const blamed = await gate.wait()
    if (blamed !== undefined) return blamed
    const slot = await (state.progressAt === undefined ? this.ask(state, signal, server => this.startAt(state.service, server)) : this.askForTurn(state, signal, server => this.startAt(state.service, server)))
    const isFinal = slot === undefined || 'server' in slot || state.progressAt === undefined || slot.cause === 'quarantined' || signal.aborted || origin.findLack(state.service) !== undefined
    if (!isFinal) await this.pause()
    return isFinal ? slot : undefined
  }

  /**
   * Waits for a slot at another server than `server`, which is silent but may go on. Only once the request has the slot is the
   * silent server given up; `takeMoved` then returns the new send. Ends when bytes arrive.
   */
  async waitElsewhere (server: string, { abandon, signal }: Silence, getState: () => SendState): Promise<void> {
    const { request, tools: { clock, loads, log } } = this.options
    const since = clock.now()
    log.write('info', 'routing', 'a server is silent', { request: request.id, server, next: getState().mayRetry ? 'ask elsewhere' : 'wait', after: Math.round(since - request.arrived) })
    signal.addEventListener('abort', clock.after(REPORT_SILENCE, () => loads.outcomes.record(server, true)), { once: true })
    for (let state = getState(); !signal.aborted && state.mayRetry; state = getState()) {
      const excluded = clock.now() < since + SAME_SERVER_SILENCE ? server : undefined
      const slot = await this.askForTurn({ ...state, tried: [...state.tried, server], excluded }, signal, granted => {
        if (signal.aborted || granted === excluded) return undefined
        this.moved = this.startElsewhere(state.service, granted, abandon)
        return this.moved
      })
      if (slot !== undefined && 'server' in slot) return
      await this.pause()
    }
  }

  /** Takes the send that `waitElsewhere` has started, if any. */
  takeMoved (): StartedSend | undefined {
    const { moved } = this
    this.moved = undefined
    return moved
  }

  /** Ends a send that was started elsewhere in the moment in which the request ended. */
  dropMoved (abort: () => void): void {
    const moved = this.takeMoved()
    if (moved === undefined) return
    abort()
    void moved.opened.then(opened => { if (opened.ok) opened.val.end('abandoned') })
  }

  /** Pauses before a further try at servers that were full. */
  async pause (): Promise<void> {
    const { signal, tools: { clock, random } } = this.options
    if (signal.aborted) return
    await new Promise<void>(resolve => {
      const end = (): void => {
        cancel()
        signal.removeEventListener('abort', end)
        resolve()
      }
      const cancel = clock.after(random.spread(ASK_AGAIN, 0.5), end)
      signal.addEventListener('abort', end)
    })
  }

  /** Asks for a slot, and gives up after a while: the next one may be free at another group of servers. */
  private async askForTurn (state: SendState, signal: AbortSignal, start: Start): Promise<StartedSend | Refusal | undefined> {
    const turn = new AbortController()
    const cancel = this.options.tools.clock.after(MAX_TURN, () => turn.abort())
    try {
      return await this.ask(state, AbortSignal.any([signal, turn.signal]), start)
    } finally {
      cancel()
    }
  }

  private async ask ({ service, tried, progressAt, mayRetry, excluded }: SendState, signal: AbortSignal, start: Start): Promise<StartedSend | Refusal | undefined> {
    const { request, tools, origin } = this.options
    const lack = origin.findLack(service)
    if (lack !== undefined) return this.options.refuse('no server', lack)
    if (signal.aborted) return givenUpRefusal
    return await new Promise(resolve => {
      const asked: PlacementRequest = {
        pool: service,
        ...buildPlacementTerms(request),
        isCounted: tried.length > 0,
        version: origin.findVersion(service),
        avoided: tried,
        excluded,
        returning: request.asked < request.arrived || tried.length > 0,
        repeatable: mayRetry,
        ...progressAt !== undefined && this.buildBegunTerms(progressAt),
        signal,
        start: server => resolve(start(server)),
        refuse: resolve
      }
      tools.queue.request(asked)
    })
  }

  /**
   * The terms of a stream that has begun: its target is the next event, not the first one. As a late request, or as one that its caller
   * sends again, it would wait behind all new ones until its caller leaves, and the work done for it would be lost.
   */
  private buildBegunTerms (progressAt: number): Pick<PlacementRequest, 'asked' | 'beginBy' | 'returning'> {
    const { request: { route }, tools: { clock } } = this.options
    const now = clock.now()
    return { asked: now, beginBy: Math.max(progressAt + (route.silence ?? 0), now + GO_ON_WITHIN), returning: false }
  }

  private startAt (service: string, server: string): StartedSend | Refusal | undefined {
    const { gate, origin, refuse, refuseLate, open } = this.options
    const late = refuseLate()
    if (late !== undefined) return late
    const blamed = gate.check()
    if (blamed !== undefined) return blamed === 'wait' ? undefined : blamed
    if (!origin.mayBeginAt(service, server)) return undefined
    const mismatch = origin.findMismatch(server)
    return mismatch === undefined ? { server, opened: open(server) } : refuse('no server', mismatch)
  }

  /** Gives the silent server up right before the request goes to another one: two are never at work on it. */
  private startElsewhere (service: string, server: string, abandon: () => void): StartedSend | undefined {
    const { gate, origin, open } = this.options
    if (gate.check() !== undefined || !origin.mayBeginAt(service, server) || origin.findMismatch(server) !== undefined) return undefined
    abandon()
    return { server, opened: open(server) }
  }
}
