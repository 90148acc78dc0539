import { firstEventShare } from './first-event-share.js'

/** What is known of a request that finds every slot taken, and of the queue before it. Times in ms. */
interface WaitState {
  /** Requests that are served before it. */
  readonly ahead: number
  /** Mean time between two slots that come free for this daemon. */
  readonly interval: number
  /** How long requests keep their slots. */
  readonly holdTime: number
  /** Since its target counts. */
  readonly waited: number
  /** Target for its first event. */
  readonly target: number
  /** Until its deadline. */
  readonly left: number
  /** Until its caller has left before a first event could come. */
  readonly beginWithin: number
  /** Whether it was tried before and its caller comes for the last time. */
  readonly returning: boolean
}

type Plan = { readonly type: 'wait', readonly recheckAfter: number } | { readonly type: 'refuse', readonly retryAfter: number }

/** Share of the target within which a refusal still lets the caller come again and be served in time. */
const EARLY_SHARE = 0.2
/** A wait that is expected to take more than this share of the time that its answer and its caller leave is given up: nothing useful could come of it. */
const MAX_EXPECTED_SHARE = 0.5
/** A request that has waited for this share of all its time is given up, while its caller has time for something else. */
const MAX_WAITED_SHARE = 0.4
/** Between two looks at a request that is late, ms. */
const RECHECK_PERIOD = 250
/** A refused caller comes back after this many targets, spread by its daemon: about half of a short burst. */
const RETRY_AFTER_TARGETS = 3

/**
 * Whether a request that finds no slot waits or is refused at once.
 *
 * Load pattern: bursts of a few seconds that ask for more slots than there are. A queue that takes everything makes all
 * of the burst late; a refusal while its caller can still come back in time moves that request into the lull behind the
 * burst. So a first try that can't begin in time is refused at once, or as soon as that shows, while it is early; past
 * that it waits, since a late answer is better than none. A caller that comes back has no further try and isn't refused
 * early, nor for having waited long. Where the wait would leave no time for the answer itself, each is told so at once.
 */
export function planWait ({ ahead, interval, holdTime, waited, target, left, beginWithin, returning }: WaitState): Plan {
  const expected = (ahead + 1) * interval
  const refusal: Plan = { type: 'refuse', retryAfter: Math.max(RETRY_AFTER_TARGETS * target, expected) }
  if (expected > (left - holdTime) * MAX_EXPECTED_SHARE || expected > beginWithin * (returning ? 1 : MAX_EXPECTED_SHARE)) return refusal
  if (!returning && waited > (waited + left) * MAX_WAITED_SHARE) return refusal
  const early = EARLY_SHARE * target
  const isHopeless = expected > target * (1 - firstEventShare) - waited
  if (!returning && waited <= early && isHopeless) return refusal
  return { type: 'wait', recheckAfter: waited < early ? early - waited : RECHECK_PERIOD }
}
