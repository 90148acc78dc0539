import type { Clock } from '../kernel/clock.js'
import { pauseFor } from '../kernel/pause-for.js'
import type { Random } from '../kernel/random.js'
import type { Metrics } from '../observe/metrics.js'
import type { ApiAnswer } from './api-answer.js'
import type { ApiCall } from './api-call.js'
import type { ApiTransport } from './api-transport.js'
import { CallBudget } from './call-budget.js'
import type { CallPriority } from './call-priority.js'
import { Circuit } from './circuit.js'
import { planRestartRate } from './plan-restart-rate.js'
import { RefusedWrites } from './refused-writes.js'

/** Initial rates, calls a second. */
const READ_BUDGET = { rate: 200 }
const WRITE_BUDGET = { rate: 60 }
/** Lowest rates at which calls restart after an outage, calls a second. */
const MIN_RESTART_READS = 4
const MIN_RESTART_WRITES = 2
const PROBE_TIMEOUT = 1_000
const PROBE: ApiCall = { type: 'get', kind: 'configuration', name: 'manifest' }
const JITTER = 0.5
/** Longest time a call waits for the budget before it is refused, ms. */
const MAX_WAITS: Readonly<Record<CallPriority, number>> = { probe: 0, caller: 300, operator: 3_000, background: 10_000 }
const PRIORITIES: readonly CallPriority[] = ['probe', 'caller', 'operator', 'background']
/** Delay before a call that yields to a higher priority tries again, ms. */
const YIELD_DELAY = 50
/** A timeout that fires this late means that this process was paused, ms. */
const LATE_THRESHOLD = 500
/** How long a call stays open after its timeout where its late answer is of use, ms. */
const LATE_WAIT = 1_000
/** Most calls that stay open after their timeouts at once, so that a slow platform's late answers don't occupy all connections. */
const MAX_LATE_CALLS = 4
const OUT: ApiAnswer = { type: 'not sent', reason: 'the platform is out' }

/** The platform's rate limits for all daemons together, calls a second. */
interface FleetRates { readonly reads: number, readonly writes: number }

/** `signal` ends a call without an answer; `onLate` is given the answer that a call may get after its timeout, if the call stays open for it. */
interface DirectOptions {
  readonly signal?: AbortSignal
  readonly onLate?: (answer: Promise<ApiAnswer>) => void
}

type Relay = (call: ApiCall, timeout: number) => Promise<ApiAnswer | undefined>

/** Sends calls to the platform within the budget, and refuses them at once while the platform is unavailable. */
export class CallGate {
  private readonly budgets = { reads: new CallBudget(READ_BUDGET), writes: new CallBudget(WRITE_BUDGET) }
  private readonly circuit: Circuit
  private readonly refusedWrites = new RefusedWrites()
  private readonly clock: Clock
  private readonly random: Random
  private readonly metrics: Metrics
  private readonly waiting: Record<CallPriority, number> = { probe: 0, caller: 0, operator: 0, background: 0 }
  private cancelProbe = (): void => {}
  private relay: Relay | undefined
  private readonly fleetRates: FleetRates | undefined
  private countDaemons = (): number => 1
  private lateCalls = 0

  constructor (private readonly transport: ApiTransport, { clock, random, metrics, maxProbeDelay, fleetRates }: { readonly clock: Clock, readonly random: Random, readonly metrics: Metrics, readonly maxProbeDelay?: number, readonly fleetRates?: FleetRates }) {
    this.clock = clock
    this.random = random
    this.metrics = metrics
    this.fleetRates = fleetRates
    this.circuit = new Circuit(clock.now(), { maxProbeDelay })
    metrics.gauge('platform_out', () => Number(this.isOut))
    for (const [call, budget] of Object.entries(this.budgets)) metrics.gauge('platform_call_rate', () => budget.getRate(clock.now()), { call })
  }

  /** Whether the platform is considered unavailable. */
  get isOut (): boolean {
    return this.circuit.open
  }

  /** Sets the source of the number of daemons that share the platform's rate. */
  useFleet (count: () => number): void {
    this.countDaemons = count
  }

  /** Sets an alternative path to the platform; `relay` resolves to undefined where no peer could send the call. */
  useRelay (relay: Relay): void {
    this.relay = relay
  }

  /**
   * Sends a call. A caller's call goes through the relay, if there is one, while the platform is unavailable to this daemon or
   * where `relayed` is true; it is sent directly where the relay has no answer. A caller's write that the platform refuses to
   * this daemon, for the rate limit or as unavailable, goes through the relay as well.
   */
  async send (call: ApiCall, priority: CallPriority, timeout: number, { relayed = this.isOut, onLate }: Pick<DirectOptions, 'onLate'> & { readonly relayed?: boolean } = {}): Promise<ApiAnswer> {
    const isWrite = this.isWrite(call)
    if (priority !== 'caller') return await this.sendDirect(call, priority, timeout, { onLate })
    if (relayed) return await this.relay?.(call, timeout) ?? await this.sendDirect(call, priority, timeout, { onLate })
    const relayedAnswer = isWrite && this.refusedWrites.isRelayed(this.clock.now()) ? await this.relayRefused(call, timeout) : undefined
    if (relayedAnswer !== undefined) return relayedAnswer
    const answer = await this.sendDirect(call, priority, timeout, { onLate })
    const isSearch = isWrite && isRefusal(answer) && this.refusedWrites.beginSearch(this.clock.now())
    return isSearch ? await this.relayRefused(call, timeout) ?? answer : answer
  }

  private async relayRefused (call: ApiCall, timeout: number): Promise<ApiAnswer | undefined> {
    const answer = await this.relay?.(call, timeout)
    this.refusedWrites.recordRelay(answer?.type === 'answered', this.clock.now())
    return answer
  }

  /** Sends a call directly to the platform. */
  async sendDirect (call: ApiCall, priority: CallPriority, timeout: number, { signal, onLate }: DirectOptions = {}): Promise<ApiAnswer> {
    const refusal = priority === 'probe' ? undefined : await this.admit(call, priority)
    if (refusal !== undefined) {
      this.metrics.count('platform_calls_refused_total', { call: call.type, priority, cause: refusal.type === 'limited' ? 'budget' : 'out' })
      return refusal
    }
    const startedAt = this.clock.now()
    const answer = onLate === undefined ? await this.transport.send(call, timeout, signal) : await this.sendKept(call, timeout, onLate)
    this.metrics.count('platform_calls_total', { call: call.type, outcome: answer.type })
    if (call.type !== 'watch') this.metrics.observe('platform_call_ms', this.clock.now() - startedAt, { call: call.type })
    if (!isLocalDelay(answer, this.clock.now() - startedAt, timeout)) this.record(call, answer)
    return answer
  }

  close (): void {
    this.cancelProbe()
  }

  /** Sends a call that may stay open after its timeout. */
  private async sendKept (call: ApiCall, timeout: number, onLate: (answer: Promise<ApiAnswer>) => void): Promise<ApiAnswer> {
    const end = new AbortController()
    const sent = this.transport.send(call, timeout + LATE_WAIT, end.signal)
    let cancel = (): void => {}
    const timedOut = new Promise<undefined>(resolve => { cancel = this.clock.after(timeout, () => resolve(undefined)) })
    const answer = await Promise.race([sent, timedOut])
    cancel()
    if (answer !== undefined) return answer
    if (this.lateCalls < MAX_LATE_CALLS) onLate(this.receiveLate(call, sent))
    else end.abort(new Error('no answer in time'))
    return { type: 'no answer', reason: 'no answer in time' }
  }

  /** A late answer shows that the platform is available; that the call failed in time is recorded before. */
  private async receiveLate (call: ApiCall, sent: Promise<ApiAnswer>): Promise<ApiAnswer> {
    this.lateCalls++
    const answer = await sent
    this.lateCalls--
    this.metrics.count('platform_late_answers_total', { call: call.type, outcome: answer.type })
    if (answer.type === 'answered' || answer.type === 'limited') this.record(call, answer)
    return answer
  }

  private async admit (call: ApiCall, priority: CallPriority): Promise<ApiAnswer | undefined> {
    const end = this.clock.now() + MAX_WAITS[priority]
    for (;;) {
      if (this.isOut) return OUT
      const now = this.clock.now()
      const wait = this.hasHigherPriorityWaiting(priority) ? YIELD_DELAY : this.chooseBudget(call).take(priority, now)
      if (wait === 0) return undefined
      if (now + wait > end) return { type: 'limited', retryAfter: wait }
      this.waiting[priority]++
      await pauseFor(this.clock, wait * (1 + JITTER * this.random.next()))
      this.waiting[priority]--
    }
  }

  /** Whether a call of a higher priority is waiting, which the next token goes to. */
  private hasHigherPriorityWaiting (priority: CallPriority): boolean {
    return PRIORITIES.slice(0, PRIORITIES.indexOf(priority)).some(before => this.waiting[before] > 0)
  }

  private chooseBudget (call: ApiCall): CallBudget {
    return this.isWrite(call) ? this.budgets.writes : this.budgets.reads
  }

  private isWrite ({ type }: ApiCall): boolean {
    return type === 'put' || type === 'put status' || type === 'delete'
  }

  /** An unanswered watch doesn't count as a failure of the platform: that watch alone may hang. */
  private record (call: ApiCall, answer: ApiAnswer): void {
    const now = this.clock.now()
    if (this.isWrite(call) && answer.type !== 'no answer') this.refusedWrites.recordAnswer(isRefusal(answer), now)
    if (answer.type === 'answered' || answer.type === 'limited') {
      if (answer.type === 'limited') this.chooseBudget(call).onRefused(this.random.spread(answer.retryAfter, JITTER), now)
      if (this.circuit.onAnswer(now)) this.restartBudgets(now)
    } else if ((call.type !== 'watch' || answer.type !== 'no answer') && this.circuit.onFailure(now)) this.startProbe()
  }

  private restartBudgets (now: number): void {
    this.cancelProbe()
    const daemons = this.countDaemons()
    this.budgets.reads.onRestart(now, planRestartRate({ minRate: MIN_RESTART_READS, fleetRate: this.fleetRates?.reads, daemons }))
    this.budgets.writes.onRestart(now, planRestartRate({ minRate: MIN_RESTART_WRITES, fleetRate: this.fleetRates?.writes, daemons }))
  }

  private startProbe (): void {
    const delay = this.random.spread(this.circuit.nextProbeDelay(), JITTER)
    this.cancelProbe = this.clock.after(delay, () => { void this.sendProbe() })
  }

  private async sendProbe (): Promise<void> {
    const answer = await this.transport.send(PROBE, PROBE_TIMEOUT)
    this.metrics.count('platform_calls_total', { call: 'probe', outcome: answer.type })
    this.record(PROBE, answer)
    if (this.isOut) this.startProbe()
  }
}

/** Whether the platform, or this daemon's budget, refused the call, so that it hasn't taken effect. */
function isRefusal ({ type }: ApiAnswer): boolean {
  return type === 'limited' || type === 'out'
}

/**
 * Whether a call went unanswered because this process was paused: when it resumes, the timeout fires before the answer
 * in the socket buffer is read. Counted as failures, two such calls would open the circuit of a platform that is up.
 */
function isLocalDelay (answer: ApiAnswer, elapsed: number, timeout: number): boolean {
  return answer.type === 'no answer' && elapsed > timeout + LATE_THRESHOLD
}
