interface RetryBudgetOptions {
  /** Retries earned by each success. */
  readonly share?: number
  /** Most retries that a budget holds, also initially. */
  readonly capacity?: number
  /** Retries that a new budget holds. */
  readonly initial?: number
}

/**
 * Limits retries to a share of recent successes. When most requests fail, retries multiply the load on the remaining
 * capacity and keep it from recovering after the cause has gone. With a budget, sends are at most `requests + share ×
 * successes + initial`, regardless of failures.
 *
 * It has no clock and does no I/O. Use one budget for each pool of servers. It has no errors: `take` returns whether a
 * retry may be made.
 *
 * Source: the retry budgets of Finagle (Twitter) and gRPC's retry throttling (proposal A6).
 *
 * @example
 * const budget = new RetryBudget({ share: 0.1 })
 * budget.record()             // after each success
 * if (budget.take()) retry()  // before each retry
 */
export class RetryBudget {
  private readonly share: number
  private readonly capacity: number
  private held: number

  constructor ({ share = 0.1, capacity = 50, initial = 20 }: RetryBudgetOptions = {}) {
    this.share = share
    this.capacity = capacity
    this.held = Math.min(initial, capacity)
  }

  /** Adds the share of one success. */
  record (): void {
    this.held = Math.min(this.capacity, this.held + this.share)
  }

  /** Takes one retry; returns false if none is left. */
  take (): boolean {
    if (this.held < 1) return false
    this.held--
    return true
  }

  /** Whole retries left. */
  get left (): number {
    return Math.floor(this.held)
  }
}
