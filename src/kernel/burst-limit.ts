interface BurstLimitOptions {
  /** Most occurrences within `period`, besides those of the reading in which the limit is passed. */
  readonly count: number
  /** Time in ms. */
  readonly period: number
  /** Returns monotonic ms; called once per `count` occurrences. */
  readonly now?: () => number
}

/**
 * Counts occurrences and tells when they come too fast, at the cost of a counter for each. A burst of fewer than `count` always passes.
 *
 * @example
 * if (limit.isPassed()) socket.destroy()
 */
export class BurstLimit {
  private readonly now: () => number
  private left: number
  private began: number

  constructor (private readonly options: BurstLimitOptions) {
    this.now = options.now ?? (() => performance.now())
    this.left = options.count
    this.began = this.now()
  }

  /** Counts `amount` occurrences; returns whether the last `count` came within less than `period`. */
  isPassed (amount = 1): boolean {
    this.left -= amount
    if (this.left > 0) return false
    const now = this.now()
    if (now - this.began < this.options.period) return true
    this.left = this.options.count
    this.began = now
    return false
  }
}
