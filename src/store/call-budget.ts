import type { CallPriority } from './call-priority.js'

const MS_PER_SECOND = 1_000

/** Rates in calls a second. */
interface CallBudgetOptions {
  readonly rate: number
  readonly minRate?: number
  readonly maxRate?: number
  /** Added to the rate each second in which calls had to wait for it. */
  readonly growth?: number
  /** What the rate is multiplied with when the platform refuses a call, at most once a second. */
  readonly cut?: number
}

/** Share of the burst that calls of a priority leave to those before them. */
const RESERVES: Readonly<Record<CallPriority, number>> = { caller: 0, operator: 0.2, background: 0.5 }

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
  private at = -Infinity
  private wanted = false
  private cutAt = -Infinity
  private restartedAt = -Infinity
  private restartRate = Infinity
  private pausedUntil = -Infinity
  private readonly options: Required<CallBudgetOptions>

  constructor ({ rate, minRate = 0.5, maxRate = 2_000, growth = 1, cut = 0.7 }: CallBudgetOptions) {
    this.options = { rate, minRate, maxRate, growth, cut }
    this.rate = rate
    this.tokens = this.readBurst(-Infinity)
  }

  /** The rate in force at `now`, in calls a second. */
  readRate (now: number): number {
    return Math.min(this.rate, this.restartRate * 2 ** ((now - this.restartedAt) / MS_PER_SECOND))
  }

  /** Takes a call out of the budget and gives 0, or the ms after which to ask again. */
  take (priority: CallPriority, now: number): number {
    this.addTokens(now)
    if (priority !== 'caller' && now < this.pausedUntil) return this.pausedUntil - now
    const missing = 1 + RESERVES[priority] * (this.readBurst(now) - 1) - this.tokens
    if (missing <= 0) {
      this.tokens--
      return 0
    }
    this.wanted = true
    return Math.max(1, missing / this.readRate(now) * MS_PER_SECOND)
  }

  /** The platform refused a call for its rate; calls that no caller waits for stay away for `pause` ms. */
  onRefused (pause: number, now: number): void {
    this.addTokens(now)
    this.tokens = Math.min(this.tokens, 0)
    this.pausedUntil = Math.max(this.pausedUntil, now + pause)
    if (now - this.cutAt < MS_PER_SECOND) return
    this.cutAt = now
    if (this.isRestarting(now)) this.restartedAt += MS_PER_SECOND
    else this.rate = Math.max(this.options.minRate, this.rate * this.options.cut)
  }

  /** The platform answers again after an outage: calls begin with `rate` a second, which doubles each second until it is back. */
  onRestart (now: number, rate: number): void {
    this.restartedAt = now
    this.restartRate = rate
    this.at = now
    this.tokens = Math.min(this.tokens, 1)
  }

  private addTokens (now: number): void {
    const passed = this.at === -Infinity ? 0 : (now - this.at) / MS_PER_SECOND
    this.at = now
    if (this.wanted && !this.isRestarting(now)) this.rate = Math.min(this.options.maxRate, this.rate + this.options.growth * Math.min(1, passed))
    this.wanted = false
    this.tokens = Math.min(this.readBurst(now), this.tokens + this.readRate(now) * passed)
  }

  private isRestarting (now: number): boolean {
    return this.readRate(now) < this.rate
  }

  /** Half a second's worth, and never less than one call. */
  private readBurst (now: number): number {
    return Math.max(1, (now === -Infinity ? this.rate : this.readRate(now)) / 2)
  }
}
