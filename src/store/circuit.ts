/** Times in ms. */
interface CircuitOptions {
  /** Consecutive unanswered calls that open the circuit, if there has been no answer for `quietTime`. */
  readonly failures?: number
  readonly quietTime?: number
  /** Two unanswered calls are enough after this long without an answer. */
  readonly longQuietTime?: number
  readonly firstProbeDelay?: number
  /** Longest delay between two probes, and thus until the end of an outage is noticed. */
  readonly maxProbeDelay?: number
}

/**
 * A circuit breaker for calls to the platform. While it is open, during an outage, calls are refused at once instead of
 * waiting out their timeouts, and only probes are sent. One answer closes it.
 *
 * A burst of writes whose replies are lost looks like an outage for an instant, although the platform takes every one of
 * them. The reads that settle such writes are answered within `quietTime` and keep the circuit closed.
 */
export class Circuit {
  private failures = 0
  private answeredAt: number
  private probes = 0
  private readonly options: Required<CircuitOptions>
  open = false

  constructor (now: number, { failures = 5, quietTime = 300, longQuietTime = 1_500, firstProbeDelay = 250, maxProbeDelay = 3_000 }: CircuitOptions = {}) {
    this.options = { failures, quietTime, longQuietTime, firstProbeDelay, maxProbeDelay }
    this.answeredAt = now
  }

  /** Records an answer; returns whether it ended an outage. */
  onAnswer (now: number): boolean {
    const ended = this.open
    this.open = false
    this.failures = 0
    this.probes = 0
    this.answeredAt = now
    return ended
  }

  /** Records an unanswered call; returns whether an outage begins with it. */
  onFailure (now: number): boolean {
    this.failures++
    if (this.open) return false
    const { failures, quietTime, longQuietTime } = this.options
    const quiet = now - this.answeredAt
    this.open = (this.failures >= failures && quiet >= quietTime) || (this.failures >= 2 && quiet >= longQuietTime)
    return this.open
  }

  /** Returns the delay before the next probe, ms, which doubles with each call. */
  nextProbeDelay (): number {
    const { firstProbeDelay, maxProbeDelay } = this.options
    return Math.min(maxProbeDelay, firstProbeDelay * 2 ** this.probes++)
  }
}
