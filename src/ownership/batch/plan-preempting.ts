import type { BatchAdmissionEffect } from './batch-admission-effect.js'
import type { BatchAdmissionState } from './batch-admission-state.js'
import { estimatePrefillDebt } from './estimate-prefill-debt.js'
import { limitIdleStreams } from './limit-idle-streams.js'

/**
 * Most prompt tokens of batch items that may wait or prefill in the engine while the server is idle. They lengthen the
 * first steps of a refill, for which the next online request waits.
 */
const MAX_PREFILL_IDLE = 192
/** The same beside online requests, and most starts at once. Items that the engine has cached stay within both. */
const MAX_PREFILL_BESIDE_ONLINE = 64
const MAX_STARTS_BESIDE_ONLINE = 3
/** Share of the online peak up to which batch may fill the server beside online requests. */
const PEAK_SHARE = 0.75
/**
 * Pause between starts beside online requests, ms, and its extension for each token beyond one cache block that the
 * last start had to prefill. The engine prefills between the steps of online requests, whose next tokens are delayed by
 * it.
 */
const START_PAUSE = 20
const PAUSE_PER_TOKEN = 10
/** Tokens of one cache block. */
const FREE_TOKENS = 16

/** Time without online requests after which a server counts as unused by them, ms. */
const QUIET_PERIOD = 60_000

interface PlanOptions {
  readonly maxInFlight: number
  /** Online requests in flight before the event. */
  readonly before: number
  /** Whether items with long prompts are paced. */
  readonly paced: boolean
}

/**
 * Plans starts and preemptions of batch streams around online requests.
 *
 * On an idle server, batch may use everything but a headroom. Starts are limited by the prompt tokens that still wait
 * (`MAX_PREFILL_IDLE`): the engine admits requests in order of arrival, so that waiting batch prompts delay the first
 * token of the next online request.
 *
 * With online requests in flight, batch may fill the server up to a share of its recent online peak, so that steps
 * aren't longer than online requests alone make them. The latest streams are preempted first, as they have the fewest
 * tokens to bring back. A stream within the share that has no token yet is preempted by each online request that
 * arrives, whose first token would otherwise wait for that stream's prefill.
 *
 * The first online request on an idle server preempts all streams: it has already waited for one batch step, and its
 * own step must not be long as well; streams that were kept caused a third of the requests beyond the 99th percentile.
 * Batch starts again after the time of one step, when the running step is over and the request prefills.
 *
 * While there is prefill debt, only items that prefill at most one cache block start. The engine divides prompts into
 * chunks as it likes, so only the number of long steps can be limited; they caused a p99 of 1.15 times that without
 * batch. After `QUIET_PERIOD` without online requests, starts aren't paced, since there are none to delay: a night of
 * long prompts would run at a fifth of its rate.
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
