import type { CallPriority } from './call-priority.js'

const MS_PER_SECOND = 1_000

/** Rates in calls a second. */
interface CallBudgetOptions {
  readonly rate: number
  readonly minRate?: number
  readonly maxRate?: number
  /** Added to the rate each second in which calls had to wait for it. */
  readonly increase?: number
  /** What the rate is multiplied with when the platform refuses a call, at most once a second. */
  readonly decreaseFactor?: number
}

/** Share of the burst that calls of a priority leave to those before them. */
const RESERVED_SHARES: Readonly<Record<CallPriority, number>> = { caller: 0, operator: 0.2, background: 0.5 }

/**
 * A daemon's own share of the platform's rate, found without a word to the others: additive increase while calls wait,
 * multiplicative decrease when the platform refuses one (Chiu and Jain, "Analysis of the increase and decrease
 * algorithms for congestion avoidance", 1989), so that daemons that want much end near equal shares. A token bucket
 * spends it; the last tokens are kept for callers.
 *
 * After an outage all daemons want at once what had waited. At the full rate they would refuse one another's calls and
 * cut themselves to nothing; a low rate that doubles each second is enough, because the first refusals come while it
 * is still small.
 */
export class CallBudget {
  private rate: number
  private tokens: number
  private refilledAt = -Infinity
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

  /** Takes a call out of the budget and gives 0, or the ms after which to ask again. */
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

  /** The platform refused a call for its rate; calls that no caller waits for stay away for `pause` ms. */
  onRefused (pause: number, now: number): void {
    this.refill(now)
    this.tokens = Math.min(this.tokens, 0)
    this.pausedUntil = Math.max(this.pausedUntil, now + pause)
    if (now - this.decreasedAt < MS_PER_SECOND) return
    this.decreasedAt = now
    if (this.isRestarting(now)) this.restartedAt += MS_PER_SECOND
    else this.rate = Math.max(this.options.minRate, this.rate * this.options.decreaseFactor)
  }

  /** The platform answers again after an outage: calls begin with `rate` a second, which doubles each second until it is back. */
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

  /** Half a second's worth, and never less than one call. */
  private getBurst (now: number): number {
    return Math.max(1, (now === -Infinity ? this.rate : this.getRate(now)) / 2)
  }
}
