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

/** Calls a second that a daemon begins with. */
const READ_BUDGET = { rate: 200 }
const WRITE_BUDGET = { rate: 60 }
/** Calls a second with which a daemon begins again after an outage at the least. */
const MIN_RESTART_READS = 4
const MIN_RESTART_WRITES = 2
const PROBE_TIMEOUT = 1_000
const PROBE: ApiCall = { type: 'get', kind: 'configuration', name: 'manifest' }
const JITTER = 0.5
/** How long a call waits for the budget before it is refused, in ms. */
const MAX_WAITS: Readonly<Record<CallPriority, number>> = { caller: 300, operator: 3_000, background: 10_000 }
const PRIORITIES: readonly CallPriority[] = ['caller', 'operator', 'background']
/** How long a call stands back for one of a higher priority before it asks again, in ms. */
const YIELD_DELAY = 50
/** A call that is given up this much after its timeout says more of this daemon than of the platform, ms. */
const LATE_THRESHOLD = 500
const OUT: ApiAnswer = { type: 'not sent', reason: 'the platform is out' }

/** What the platform serves to all daemons together, calls a second. */
interface FleetRates { readonly reads: number, readonly writes: number }

type Relay = (call: ApiCall, timeout: number) => Promise<ApiAnswer | undefined>

/** Lets calls through to the platform within the budget, and refuses them at once while the platform is out. */
export class CallGate {
  private readonly budgets = { reads: new CallBudget(READ_BUDGET), writes: new CallBudget(WRITE_BUDGET) }
  private readonly circuit: Circuit
  private readonly clock: Clock
  private readonly random: Random
  private readonly metrics: Metrics
  private readonly waiting: Record<CallPriority, number> = { caller: 0, operator: 0, background: 0 }
  private cancelProbe = (): void => {}
  private relay: Relay | undefined
  private readonly fleetRates: FleetRates | undefined
  private countDaemons = (): number => 1

  constructor (private readonly transport: ApiTransport, { clock, random, metrics, maxProbeDelay, fleetRates }: { readonly clock: Clock, readonly random: Random, readonly metrics: Metrics, readonly maxProbeDelay?: number, readonly fleetRates?: FleetRates }) {
    this.clock = clock
    this.random = random
    this.metrics = metrics
    this.fleetRates = fleetRates
    this.circuit = new Circuit(clock.now(), { maxProbeDelay })
    metrics.gauge('platform_out', () => Number(this.isOut))
    for (const [call, budget] of Object.entries(this.budgets)) metrics.gauge('platform_call_rate', () => budget.getRate(clock.now()), { call })
  }

  /** Whether the platform is taken to be out. */
  get isOut (): boolean {
    return this.circuit.open
  }

  /** How many daemons share what the platform serves. */
  useFleet (count: () => number): void {
    this.countDaemons = count
  }

  /** Another way to the platform; it gives undefined where it leads nowhere. */
  useRelay (relay: Relay): void {
    this.relay = relay
  }

  /**
   * Sends a call. A caller's goes by way of a peer where the platform doesn't answer this daemon, and with `relayed` in any
   * case, if there is such a way.
   */
  async send (call: ApiCall, priority: CallPriority, timeout: number, { relayed = this.isOut }: { readonly relayed?: boolean } = {}): Promise<ApiAnswer> {
    const answer = relayed && priority === 'caller' ? await this.relay?.(call, timeout) : undefined
    return answer ?? await this.sendDirect(call, priority, timeout)
  }

  /** Sends a call straight to the platform. */
  async sendDirect (call: ApiCall, priority: CallPriority, timeout: number): Promise<ApiAnswer> {
    const refusal = await this.admit(call, priority)
    if (refusal !== undefined) {
      this.metrics.count('platform_calls_refused_total', { call: call.type, priority, cause: refusal.type === 'limited' ? 'budget' : 'out' })
      return refusal
    }
    const startedAt = this.clock.now()
    const answer = await this.transport.send(call, timeout)
    this.metrics.count('platform_calls_total', { call: call.type, outcome: answer.type })
    if (call.type !== 'watch') this.metrics.observe('platform_call_ms', this.clock.now() - startedAt, { call: call.type })
    if (!isLocalDelay(answer, this.clock.now() - startedAt, timeout)) this.record(call, answer)
    return answer
  }

  close (): void {
    this.cancelProbe()
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

  /** Whether a call of a higher priority is waiting: the next of the budget is then for that one. */
  private hasHigherPriorityWaiting (priority: CallPriority): boolean {
    return PRIORITIES.slice(0, PRIORITIES.indexOf(priority)).some(before => this.waiting[before] > 0)
  }

  private chooseBudget ({ type }: ApiCall): CallBudget {
    return type === 'put' || type === 'put status' || type === 'delete' ? this.budgets.writes : this.budgets.reads
  }

  /** A watch that isn't answered says nothing of the platform: it may be that watch alone that is silent. */
  private record (call: ApiCall, answer: ApiAnswer): void {
    const now = this.clock.now()
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

/**
 * Whether a call went unanswered because this process stood still. Its timeout fires at the thaw, before the answer that
 * waits is read; two such calls opened the circuit, and the outcome of a booking that had just come was refused as of a
 * platform that is out. The caller had its answer, and the same key was told unknown elsewhere for some seconds.
 */
function isLocalDelay (answer: ApiAnswer, elapsed: number, timeout: number): boolean {
  return answer.type === 'no answer' && elapsed > timeout + LATE_THRESHOLD
}
