import { AdaptiveTimeout } from './adaptive-timeout.js'

/** Bounds of the timeout, ms, for a broker's first response; a round trip takes 1 or 2 ms, a busy event loop adds some tens. */
const RESPONSE_TIMEOUT = { least: 100, most: 400 }
/** Requests without a response in time whose late response is still recorded. */
const MAX_TIMED_OUT = 64

/** Adapts the timeout for a broker's first response to the delays of earlier ones, also of those that came too late. Times in ms. */
export class ResponseDelays {
  private readonly responseTimeout = new AdaptiveTimeout(RESPONSE_TIMEOUT)
  /** Times at which the latest requests without a response in time were sent, by request id. */
  private readonly timedOut = new Map<number, number>()

  get timeout (): number {
    return this.responseTimeout.timeout
  }

  record (delay: number): void {
    this.responseTimeout.record(delay)
  }

  /** Records that a request sent at `sentAt` had no response in time. */
  recordTimeout (requestId: number, sentAt: number): void {
    this.timedOut.set(requestId, sentAt)
    if (this.timedOut.size > MAX_TIMED_OUT) this.timedOut.delete(this.timedOut.keys().next().value!)
  }

  /** Records a response at `now` to a request that is no longer pending. */
  recordLate (requestId: number, now: number): void {
    const sentAt = this.timedOut.get(requestId)
    if (sentAt !== undefined) this.responseTimeout.recordLate(now - sentAt)
    this.timedOut.delete(requestId)
  }
}
