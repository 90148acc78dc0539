/** Time over which arrivals are averaged, ms: a wave of online requests is felt within it. */
const WINDOW = 300
/** Share of the slots' turnover that late requests get in any case: they are few, and wait for no more than the end of their time. */
const LEAST_SHARE = 0.05
/** Late requests that may begin at once. */
const BURST = 2
const MS_PER_SECOND = 1_000

interface Turnover {
  readonly slots: number
  /** Mean time that a request keeps its slot, ms. */
  readonly stay: number
}

/**
 * How many late requests begin while others can still be in time.
 *
 * Load pattern: all daemons ended and are back in the middle of a wave. Everybody who met nobody comes again at once, late already, and
 * finds every slot free; given them all, they keep those for the most of a second, and all who come meanwhile are late as well. A
 * late request loses nothing by waiting for the end of the wave. So late ones begin no faster than what is left of the slots'
 * turnover beside the requests that come in time.
 */
export class LateShare {
  private fresh = 0
  private readonly startedAt: number
  private decayedAt: number
  private refilledAt: number
  private tokens = 0

  /** `now`: monotonic ms. */
  constructor (now: number) {
    this.startedAt = now
    this.decayedAt = now
    this.refilledAt = now
  }

  /** Notes a request that can be in time. */
  recordFresh (now: number): void {
    this.decay(now)
    this.fresh++
  }

  /** Whether a late request may begin now; `use` says that it does. */
  mayBegin (now: number, turnover: Turnover): boolean {
    this.refill(now, turnover)
    return this.tokens >= 1
  }

  use (): void {
    this.tokens--
  }

  /** Of requests that can be in time, a second. Until a window is over nothing is known, and it counts as the most. */
  private estimateRate (now: number): number {
    return now < this.startedAt + WINDOW ? Infinity : this.fresh * MS_PER_SECOND / WINDOW
  }

  private refill (now: number, { slots, stay }: Turnover): void {
    const passed = now - this.refilledAt
    this.refilledAt = now
    this.decay(now)
    const most = slots * MS_PER_SECOND / Math.max(1, stay)
    const rate = Math.max(LEAST_SHARE * most, most - this.estimateRate(now))
    this.tokens = Math.min(BURST, this.tokens + rate * passed / MS_PER_SECOND)
  }

  private decay (now: number): void {
    this.fresh *= Math.exp(-(now - this.decayedAt) / WINDOW)
    this.decayedAt = now
  }
}
