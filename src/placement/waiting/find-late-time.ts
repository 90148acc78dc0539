import { firstEventShare } from '../first-event-share.js'

interface TimedRequest {
  /** Start of its target time, monotonic ms. */
  readonly targetStart: number
  /** Target time to its first event, ms from `targetStart`. */
  readonly target: number
}

/** Returns the latest start, monotonic ms, with which a request meets its target. */
export function findLateTime ({ targetStart, target }: TimedRequest): number {
  return targetStart + target * (1 - firstEventShare)
}
