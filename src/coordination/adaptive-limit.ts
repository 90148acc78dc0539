interface AdaptiveLimitOptions {
  /** Bounds of the limit. */
  readonly lowest?: number
  readonly highest?: number
  /** Initial limit, by default the highest. */
  readonly initial?: number
  /** Factor by which the limit decreases. */
  readonly decrease?: number
  /** Least time between two decreases, ms; about the time until a decrease takes effect. */
  readonly pause?: number
}

/** One observation of the limited resource. */
interface Sample {
  /** Ratio of the observed time to its target; above 1 it was too slow. */
  readonly ratio: number
  /** Requests in flight when it was observed. */
  readonly inFlight: number
  /** Monotonic ms. */
  readonly now: number
}

/**
 * An adaptive concurrency limit with additive increase and multiplicative decrease: it falls when observed times exceed
 * their target, and grows by about one per round while it is in use and they don't. Several clients that limit the same
 * server, each by its own observations, converge to equal limits.
 *
 * It has no clock and does no I/O: times come with the samples. It has no errors; samples that aren't finite are
 * ignored.
 *
 * Source: Chiu and Jain, "Analysis of the increase and decrease algorithms for congestion avoidance", 1989.
 *
 * @example
 * const limit = new AdaptiveLimit({ highest: 32 })
 * limit.record({ ratio: firstToken / target, inFlight: 12, now: clock.now() })
 * if (inFlight < limit.value) send()
 */
export class AdaptiveLimit {
  private readonly options: Required<AdaptiveLimitOptions>
  private limit: number
  private lastDecrease = -Infinity

  constructor ({ lowest = 1, highest = 64, initial = highest, decrease = 0.8, pause = 200 }: AdaptiveLimitOptions = {}) {
    this.options = { lowest, highest, initial, decrease, pause }
    this.limit = initial
  }

  /** Requests that may be in flight now, a whole number. */
  get value (): number {
    return Math.floor(this.limit)
  }

  /** Adapts the limit to one sample. */
  record ({ ratio, inFlight, now }: Sample): void {
    const { lowest, highest, decrease, pause } = this.options
    if (!Number.isFinite(ratio)) return
    if (ratio <= 1) {
      if (inFlight >= this.value * decrease) this.limit = Math.min(highest, this.limit + 1 / this.limit)
    } else if (now - this.lastDecrease >= pause) {
      this.limit = Math.max(lowest, this.limit * decrease)
      this.lastDecrease = now
    }
  }
}
