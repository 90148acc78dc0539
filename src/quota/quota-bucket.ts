import type { BucketPlan } from './bucket-plan.js'

/** A token bucket: fills at a rate up to its capacity; each request takes one token. */
export class QuotaBucket {
  private level: number
  private isPaused = false

  constructor (private plan: BucketPlan, private filledAt: number) {
    this.level = plan.initial
  }

  /** Takes a token at `now`, monotonic ms. Returns 0, or the time until there is one, ms. */
  take (now: number): number {
    this.fill(now)
    if (this.level < 1) return this.plan.rate > 0 ? (1 - this.level) / this.plan.rate : Infinity
    this.level--
    return 0
  }

  /** Returns the token of a request that wasn't sent. */
  giveBack (): void {
    this.level = Math.min(this.plan.capacity, this.level + 1)
  }

  /** Continues with a plan; a lower capacity applies at once. */
  update (plan: BucketPlan, now: number): void {
    this.fill(now)
    this.plan = plan
    this.level = Math.min(this.level, this.isPaused ? plan.initial : plan.capacity)
    this.isPaused = false
  }

  /** Stops filling until the next `update`, which leaves at most the initial tokens. */
  pause (now: number): void {
    this.fill(now)
    this.isPaused = true
  }

  private fill (now: number): void {
    if (!this.isPaused) this.level = Math.min(this.plan.capacity, this.level + (now - this.filledAt) * this.plan.rate)
    this.filledAt = now
  }
}
