/** Times in ms. */
interface CircuitOptions {
  /** Calls in a row without an answer that open it, once nothing has been answered for `pause`. */
  readonly failures?: number
  readonly quietTime?: number
  /** Two of them are enough when nothing has been answered for this long. */
  readonly longQuietTime?: number
  readonly firstProbeDelay?: number
  /** Longest pause between two probes: what a daemon knows is as old as that when the platform is back. */
  readonly maxProbeDelay?: number
}

/**
 * Tells whether the platform answers. In an outage each call would otherwise wait out its timeout, and callers with it;
 * open, it refuses them at once, and only a probe goes out now and then. One answer closes it.
 *
 * A burst of writes whose replies are lost looks like an outage for an instant, although the platform takes every one of
 * them; callers would be refused for nothing. The reads that settle such writes are answered within `pause`, and keep
 * it closed.
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

  /** An answer came; gives back whether it ended an outage. */
  onAnswer (now: number): boolean {
    const ended = this.open
    this.open = false
    this.failures = 0
    this.probes = 0
    this.answeredAt = now
    return ended
  }

  /** No answer came; gives back whether an outage begins. */
  onFailure (now: number): boolean {
    this.failures++
    if (this.open) return false
    const { failures, quietTime, longQuietTime } = this.options
    const quiet = now - this.answeredAt
    this.open = (this.failures >= failures && quiet >= quietTime) || (this.failures >= 2 && quiet >= longQuietTime)
    return this.open
  }

  /** How long to wait before the next probe; it doubles from one to the next. */
  nextProbeDelay (): number {
    const { firstProbeDelay, maxProbeDelay } = this.options
    return Math.min(maxProbeDelay, firstProbeDelay * 2 ** this.probes++)
  }
}
