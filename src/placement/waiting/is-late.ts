import { findLateTime } from './find-late-time.js'

/** Returns whether a request misses its target even if it starts now. */
export function isLate (request: Parameters<typeof findLateTime>[0], now: number): boolean {
  return now > findLateTime(request)
}
