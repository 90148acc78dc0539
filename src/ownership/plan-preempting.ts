import type { BatchAdmissionEffect } from './batch-admission-effect.js'
import type { BatchAdmissionState } from './batch-admission-state.js'
import { estimatePrefillDebt } from './estimate-prefill-debt.js'
import { limitIdleStreams } from './limit-idle-streams.js'

/**
 * Prompt tokens of batch that may wait or prefill in the engine at once while nothing online runs there. They lengthen the
 * first steps of a refill, for which the next online request waits.
 */
const MAX_PREFILL_IDLE = 192
/** The same for starts beside online requests, and how many there are at once; items that the engine has cached stay within it. */
const MAX_PREFILL_BESIDE_ONLINE = 64
const MAX_STARTS_BESIDE_ONLINE = 3
/** Share of the online peak up to which batch may fill beside online requests. */
const PEAK_SHARE = 0.75
/**
 * ms between starts beside online requests, and ms more for each token that the last one had to prefill beyond one
 * cache block: the engine prefills between the steps of online requests, and each of them gets its token late by that
 * much. Without the part for tokens, items with long prompts bring the symptom of slow steps all through a burst.
 */
const START_PAUSE = 20
const PAUSE_PER_TOKEN = 10
const FREE_TOKENS = 16

/** ms without an online request after which a server counts as one that has none. */
const QUIET_PERIOD = 60_000

interface PlanOptions {
  readonly maxInFlight: number
  /** Online requests in flight before the event. */
  readonly before: number
  /** Whether items with long prompts are paced. */
  readonly paced: boolean
}

/**
 * Gives way to online requests and fills what is idle.
 *
 * With nothing online, batch has all but a headroom. Starts are paced by first tokens: the engine admits requests as
 * they come, so whatever batch prompts wait in it go before the first online request of a burst; the symptom would be
 * a first token late by all of them. At most `PREFILL_IDLE` tokens can.
 *
 * With online requests in flight, the server is kept no busier than a share of what online alone brings it to at its
 * peaks: the steps of the tail are those it has without batch. The latest streams give way first, having the fewest
 * tokens to bring back. Of those within the share, one whose first token hasn't come gives way to each online request
 * that `arrived`: the engine prefills in the order of arrival, and the symptom would be a first token late by all of a
 * long batch prompt, or of a cached one that has been evicted.
 *
 * The first online request on an idle server has already waited for a batch step. All streams give way to it, so that its
 * own step isn't long as well; kept ones were the symptom behind a third of the requests beyond the 99th percentile.
 * They come back when a batch step's time has passed: the running step is over then and the request prefills.
 *
 * While prompts that were started still owe, only items that prefill no more than a cache block start: the engine
 * cuts prompts into chunks as it likes, and a step with much to prefill was the symptom behind a p99 of 1.15 times that
 * without batch. Fewer such steps is all that is ours to choose. A server that has had no online request for a minute owes
 * nobody: paced there, a night of long prompts would run at a fifth of its rate for no one's good.
 */
export function planPreempting (state: BatchAdmissionState, now: number, { maxInFlight, before, paced }: PlanOptions): readonly BatchAdmissionEffect[] {
  const { streams, online, limit, peak, peakAt } = state
  const idle = online === 0
  const allowed = Math.floor(idle ? Math.min(limit, limitIdleStreams(maxInFlight)) : Math.max(0, peak * PEAK_SHARE - online))
  const first = before === 0
  const arrived = online > before
  const excess = idle ? [] : streams.filter(({ prefilled }, i) => first || i >= allowed || (arrived && !prefilled))
  if (excess.length > 0) return excess.map(({ id }) => ({ type: 'preempt', id }))
  const count = allowed - streams.length
  if (count <= 0) return []
  const quiet = idle && (peak === 0 || now >= peakAt + QUIET_PERIOD)
  const largest = paced && !quiet && estimatePrefillDebt(state, now) > 0 ? FREE_TOKENS : Infinity
  const starting = streams.reduce((sum, { prefilled, prefill }) => sum + (prefilled ? 0 : prefill), 0)
  if (idle) return starting < MAX_PREFILL_IDLE ? [{ type: 'start', count, prefill: MAX_PREFILL_IDLE - starting, largest }] : []
  const paused = starting > 0 || now < state.busySince + state.gap || now < state.lastStart + START_PAUSE + PAUSE_PER_TOKEN * Math.max(0, state.lastPrefill - FREE_TOKENS)
  return paused ? [] : [{ type: 'start', count: Math.min(count, MAX_STARTS_BESIDE_ONLINE), prefill: MAX_PREFILL_BESIDE_ONLINE, largest }]
}
