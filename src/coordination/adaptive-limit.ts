interface AdaptiveLimitOptions {
  /** Limits below and above which it doesn't move. */
  readonly lowest?: number
  readonly highest?: number
  /** Where it starts; the highest by default. */
  readonly initial?: number
  /** Factor of one decrease. */
  readonly decrease?: number
  /** Least time between two decreases, ms: about what the effect of one takes to show. */
  readonly pause?: number
}

/** One observation of the thing limited. */
interface Sample {
  /** Observed time over its target; above 1 it was too slow. */
  readonly ratio: number
  /** What was in flight when it was observed. */
  readonly inFlight: number
  /** Monotonic ms. */
  readonly now: number
}

/**
 * A limit of concurrency found by additive increase and multiplicative decrease: it falls when observed times exceed
 * their target and grows by about one a round while it is in use and they don't. Several who limit the same server
 * each by their own observations converge to equal limits (Chiu and Jain).
 *
 * No clock and no I/O: times come in with the samples. It has no errors; a sample that isn't finite is ignored.
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

  /** What may be in flight now, a whole number. */
  get value (): number {
    return Math.floor(this.limit)
  }

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
