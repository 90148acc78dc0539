import type { OutlierState } from './outlier-state.js'
import type { ServerOutcome } from './server-outcome.js'

/** Number of a server's latest outcomes that are considered, and their greatest age, ms. */
const WINDOW = 8
const OUTCOME_TTL = 5_000
/** Failures among them, in succession or in all, at which a server is ejected. */
const MAX_FAILURES_IN_ROW = 3
const MAX_FAILURES = 4
/** A single daemon's failures may have their cause in its own network or processor. */
const MIN_DAEMONS = 2
/**
 * Greatest probability of as many failures at the other servers' failure ratio; a fault of the requests fails them at every
 * server alike.
 */
const MAX_CHANCE = 0.003
/** Probes that an ejected server must answer before it gets its share of requests again. */
const PROBES = 3
/** Duration of the first ejection and the longest, ms; it doubles with each. */
const MIN_EJECTION = 500
const MAX_EJECTION = 4_000

const HEALTHY: OutlierState = { recent: [], ejections: 0, ejectedUntil: 0, passes: 0 }

interface OutlierContext {
  /** Failure ratio of the other servers of the group. */
  readonly othersRatio: number
  /** Whether another server of the group may be ejected. */
  readonly mayEject: boolean
}

/**
 * Applies one outcome to what is known of a server's answers; undefined is a server without outcomes.
 *
 * A server that fails at once always has free slots, so it draws the most requests, and each daemon would pay for its own
 * evidence. The broker therefore ejects it for all daemons, and then probes it until it has answered a few requests.
 */
export function stepOutlier (state: OutlierState = HEALTHY, outcome: ServerOutcome, { othersRatio, mayEject }: OutlierContext): OutlierState {
  const { at, failed } = outcome
  // Requests that were granted before the ejection.
  if (at < state.ejectedUntil) return state
  if (state.ejections > 0) {
    if (failed) return eject(state, at)
    return state.passes + 1 < PROBES ? { ...state, passes: state.passes + 1 } : HEALTHY
  }
  const next = { ...state, recent: [...state.recent, outcome].filter(({ at: time }) => time > at - OUTCOME_TTL).slice(-WINDOW) }
  return failed && mayEject && isOutlier(next.recent, othersRatio) ? eject(next, at) : next
}

function isOutlier (recent: readonly ServerOutcome[], othersRatio: number): boolean {
  const failures = recent.filter(({ failed }) => failed)
  const failsInRow = recent.length >= MAX_FAILURES_IN_ROW && recent.slice(-MAX_FAILURES_IN_ROW).every(({ failed }) => failed)
  if (!failsInRow && failures.length < MAX_FAILURES) return false
  if (new Set(failures.map(({ daemon }) => daemon)).size < MIN_DAEMONS) return false
  return estimateChance(failures.length, recent.length, othersRatio) <= MAX_CHANCE
}

/** Returns the binomial probability of at least `failures` in `count` outcomes. */
function estimateChance (failures: number, count: number, ratio: number): number {
  let term = (1 - ratio) ** count
  let below = 0
  for (let n = 0; n < failures; n++) {
    below += term
    term *= (count - n) / (n + 1) * ratio / (1 - ratio)
  }
  return ratio >= 1 ? 1 : 1 - below
}

function eject ({ ejections }: OutlierState, now: number): OutlierState {
  return { recent: [], ejections: ejections + 1, ejectedUntil: now + Math.min(MAX_EJECTION, MIN_EJECTION * 2 ** ejections), passes: 0 }
}
