import type { CallPriority } from './call-priority.js'

const MS_PER_SECOND = 1_000

/** Rates in calls a second. */
interface CallBudgetOptions {
  readonly rate: number
  readonly minRate?: number
  readonly maxRate?: number
  /** Added to the rate each second in which calls had to wait. */
  readonly increase?: number
  /** Factor applied to the rate when the platform refuses a call, at most once a second. */
  readonly decreaseFactor?: number
}

/** Share of the burst that calls of a priority leave to higher priorities. */
const RESERVED_SHARES: Readonly<Record<CallPriority, number>> = { probe: 0, caller: 0, operator: 0.2, background: 0.5 }

/**
 * Limits a daemon's calls to its share of the platform's rate, without coordination between daemons: additive increase
 * while calls wait, multiplicative decrease when the platform refuses one (Chiu and Jain, "Analysis of the increase and
 * decrease algorithms for congestion avoidance", 1989), so that busy daemons converge to nearly equal shares. Calls draw
 * from a token bucket of that rate, whose last tokens are reserved for callers.
 *
 * After an outage every daemon has a backlog to send. At their former rates the daemons together would exceed the
 * platform's limit and drive all rates to the minimum. They restart at a low rate that doubles each second instead: the
 * first refusals come while it is still small.
 */
export class CallBudget {
  private rate: number
  private tokens: number
  private refilledAt = -Infinity
  /** Whether a call had to wait since the last refill. */
  private limited = false
  private decreasedAt = -Infinity
  private restartedAt = -Infinity
  private restartRate = Infinity
  private pausedUntil = -Infinity
  private readonly options: Required<CallBudgetOptions>

  constructor ({ rate, minRate = 0.5, maxRate = 2_000, increase = 1, decreaseFactor = 0.7 }: CallBudgetOptions) {
    this.options = { rate, minRate, maxRate, increase, decreaseFactor }
    this.rate = rate
    this.tokens = this.getBurst(-Infinity)
  }

  /** The rate in force at `now`, in calls a second. */
  getRate (now: number): number {
    return Math.min(this.rate, this.restartRate * 2 ** ((now - this.restartedAt) / MS_PER_SECOND))
  }

  /** Takes one call from the budget and returns 0, or returns the ms to wait before trying again. */
  take (priority: CallPriority, now: number): number {
    this.refill(now)
    if (priority !== 'caller' && now < this.pausedUntil) return this.pausedUntil - now
    const missing = 1 + RESERVED_SHARES[priority] * (this.getBurst(now) - 1) - this.tokens
    if (missing <= 0) {
      this.tokens--
      return 0
    }
    this.limited = true
    return Math.max(1, missing / this.getRate(now) * MS_PER_SECOND)
  }

  /** Handles a refusal for the platform's rate limit: lowers the rate, and holds calls back for `pause` ms unless a caller waits for them. */
  onRefused (pause: number, now: number): void {
    this.refill(now)
    this.tokens = Math.min(this.tokens, 0)
    this.pausedUntil = Math.max(this.pausedUntil, now + pause)
    if (now - this.decreasedAt < MS_PER_SECOND) return
    this.decreasedAt = now
    if (this.isRestarting(now)) this.restartedAt += MS_PER_SECOND
    else this.rate = Math.max(this.options.minRate, this.rate * this.options.decreaseFactor)
  }

  /** Handles the end of an outage: calls restart at `rate` a second, which doubles each second up to the former rate. */
  onRestart (now: number, rate: number): void {
    this.restartedAt = now
    this.restartRate = rate
    this.refilledAt = now
    this.tokens = Math.min(this.tokens, 1)
  }

  private refill (now: number): void {
    const elapsed = this.refilledAt === -Infinity ? 0 : (now - this.refilledAt) / MS_PER_SECOND
    this.refilledAt = now
    if (this.limited && !this.isRestarting(now)) this.rate = Math.min(this.options.maxRate, this.rate + this.options.increase * Math.min(1, elapsed))
    this.limited = false
    this.tokens = Math.min(this.getBurst(now), this.tokens + this.getRate(now) * elapsed)
  }

  private isRestarting (now: number): boolean {
    return this.getRate(now) < this.rate
  }

  /** The bucket's size: half a second of calls, and at least one. */
  private getBurst (now: number): number {
    return Math.max(1, (now === -Infinity ? this.rate : this.getRate(now)) / 2)
  }
}
