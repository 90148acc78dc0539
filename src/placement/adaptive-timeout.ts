/** Weight of the newest sample. */
const WEIGHT = 0.1
/** Timeout as a multiple of the mean delay. */
const MULTIPLE = 5
/** Timeout after a late response, as a multiple of its delay. */
const LATE_MULTIPLE = 2

interface TimeoutBounds {
  /** Shortest and longest timeout, ms. */
  readonly least: number
  readonly most: number
}

/**
 * Timeout after which a peer counts as unresponsive, derived from the moving average of its response delays. With a fixed short
 * timeout, daemons that are only short of processor time would be replaced as brokers, and their items couldn't be preempted.
 */
export class AdaptiveTimeout {
  private mean = 0

  constructor (private readonly bounds: TimeoutBounds) {}

  /** Records one response delay, ms. */
  record (delay: number): void {
    this.mean += WEIGHT * (delay - this.mean)
  }

  /** Records the delay, ms, of a response that came after the timeout; the next ones are waited for at least twice as long. */
  recordLate (delay: number): void {
    this.mean = Math.max(this.mean, LATE_MULTIPLE * delay / MULTIPLE)
  }

  /** The current timeout, ms. */
  get timeout (): number {
    return Math.min(this.bounds.most, Math.max(this.bounds.least, MULTIPLE * this.mean))
  }
}
