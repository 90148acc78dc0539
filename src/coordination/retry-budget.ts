interface RetryBudgetOptions {
  /** Retries earned by each success. */
  readonly share?: number
  /** Retries that may be saved up, which is also what a new budget holds at most. */
  readonly capacity?: number
  /** Retries that a new budget holds. */
  readonly initial?: number
}

/**
 * Bounds retries to a share of recent successes. When most requests fail, retries multiply the load on what is left
 * and keep it from recovering; its symptom is a fleet that stays down after the cause has gone. With a budget, sends
 * are at most `requests + share × successes + initial`, whatever fails.
 *
 * No clock and no I/O; one budget for each pool of servers. Never fails: `take` says whether a retry may be made.
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

  /** Earns the share of one success. */
  record (): void {
    this.held = Math.min(this.capacity, this.held + this.share)
  }

  /** Takes one retry if there is one left. */
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
