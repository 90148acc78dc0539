import { firstEventShare } from './first-event-share.js'

interface TimedRequest {
  /** Start of its target time, monotonic ms. */
  readonly targetStart: number
  /** Target time to its first event, ms from `targetStart`. */
  readonly target: number
}

/** Returns whether a request misses its target even if it starts now. */
export function isLate ({ targetStart, target }: TimedRequest, now: number): boolean {
  return now - targetStart > target * (1 - firstEventShare)
}
