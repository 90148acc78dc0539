import { firstEventShare } from './first-event-share.js'

interface TimedRequest {
  /** From when its target counts, monotonic ms. */
  readonly begun: number
  /** Target for its first event, ms from `begun`. */
  readonly target: number
}

/** Whether a request can't be in time any more, even if it begins now. */
export function isLate ({ begun, target }: TimedRequest, now: number): boolean {
  return now - begun > target * (1 - firstEventShare)
}
