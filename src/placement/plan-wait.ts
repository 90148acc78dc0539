import { firstEventShare } from './first-event-share.js'

/** A request that finds no free slot, and the queue ahead of it. Times in ms. */
interface WaitState {
  /** Requests that rank before it. */
  readonly ahead: number
  /** Mean time between two slots that become free. */
  readonly interval: number
  /** Mean slot hold time. */
  readonly holdTime: number
  /** Time since the start of its target time. */
  readonly waited: number
  /** Target time to its first event. */
  readonly target: number
  /** Time until its deadline. */
  readonly left: number
  /** Time until a first event could no longer reach its caller before the caller's timeout. */
  readonly beginWithin: number
  /** Whether this is its caller's last attempt. */
  readonly returning: boolean
}

type Plan = { readonly type: 'wait', readonly recheckAfter: number } | { readonly type: 'refuse', readonly retryAfter: number }

/** Share of the target time within which a refused caller can still retry and be served in time. */
const EARLY_SHARE = 0.2
/** Longest expected wait, as a share of the time that remains for waiting before the deadline or the caller's timeout. */
const MAX_EXPECTED_SHARE = 0.5
/** Longest wait so far, as a share of the request's whole time; past it the caller is refused while it can still do something else. */
const MAX_WAITED_SHARE = 0.4
/** Interval between two checks of a late request, ms. */
const RECHECK_PERIOD = 250
/** Shortest interval between two checks, ms. A rounding remainder wouldn't advance the clock. */
const MIN_RECHECK = 1
/** Shortest delay before a refused caller's retry, as a multiple of its target time. */
const RETRY_AFTER_TARGETS = 3

/**
 * Decides whether a request that finds no free slot waits or is refused.
 *
 * In a short burst that exceeds the slots, a queue that accepts everything makes the whole burst late, while an early refusal moves
 * the caller's retry into the lull that follows. A first attempt that can't start in time is therefore refused while it is
 * early; later on it keeps waiting, since a late answer is better than none. A retry is the caller's last attempt, so it is refused
 * neither early nor for a long wait. Any request is refused if the wait would leave too little time for its answer.
 */
export function planWait ({ ahead, interval, holdTime, waited, target, left, beginWithin, returning }: WaitState): Plan {
  const expected = (ahead + 1) * interval
  const refusal: Plan = { type: 'refuse', retryAfter: Math.max(RETRY_AFTER_TARGETS * target, expected) }
  if (expected > (left - holdTime) * MAX_EXPECTED_SHARE || expected > beginWithin * (returning ? 1 : MAX_EXPECTED_SHARE)) return refusal
  if (!returning && waited > (waited + left) * MAX_WAITED_SHARE) return refusal
  const early = EARLY_SHARE * target
  const isHopeless = expected > target * (1 - firstEventShare) - waited
  if (!returning && waited <= early && isHopeless) return refusal
  return { type: 'wait', recheckAfter: waited < early ? Math.max(MIN_RECHECK, early - waited) : RECHECK_PERIOD }
}
