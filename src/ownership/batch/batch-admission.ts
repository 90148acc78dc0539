import { failUnreachable } from '../../kernel/unreachable.js'
import { applyPrefill } from './apply-prefill.js'
import type { BatchAdmissionEffect } from './batch-admission-effect.js'
import type { BatchAdmissionEvent } from './batch-admission-event.js'
import type { BatchAdmissionOptions } from './batch-admission-options.js'
import type { BatchAdmissionState } from './batch-admission-state.js'
import { planPreempting } from './plan-preempting.js'

interface Step { readonly state: BatchAdmissionState, readonly effects: readonly BatchAdmissionEffect[] }

/** Half-life of the peak of online requests, ms. */
const PEAK_HALF_LIFE = 60_000
/** Least time between two changes of the limit, ms. */
const LIMIT_PERIOD = 250
/**
 * Share of the target time between tokens that batch streams may use on an idle server. It bounds the engine step for
 * which the first online request of a burst waits.
 */
const TARGET_SHARE = 1
const DECREASE = 0.9

/**
 * Returns the next state of batch admission on one server and the actions for its owner. It has no clock and no source
 * of items: pass it every event and a regular tick, and carry out the effects in the same turn. `started` returns no
 * effects, so that the items of one `start` can be reported one by one.
 *
 * @example
 * let { state, effects } = stepBatchAdmission(createBatchAdmission(options), { type: 'online', count: 1 }, now, options)
 */
export function stepBatchAdmission (state: BatchAdmissionState, event: BatchAdmissionEvent, now: number, options: BatchAdmissionOptions): Step {
  const next = applyEvent(state, event, now, options)
  if (event.type === 'started') return { state: next, effects: [] }
  const effects = planEffects(next, event, now, { ...options, before: state.online })
  const preempted = new Set(effects.flatMap(effect => effect.type === 'preempt' ? [effect.id] : []))
  const starts = effects.some(({ type }) => type === 'start')
  return {
    state: { ...next, streams: preempted.size === 0 ? next.streams : next.streams.filter(({ id }) => !preempted.has(id)), lastStart: starts ? now : next.lastStart },
    effects
  }
}

function applyEvent (state: BatchAdmissionState, event: BatchAdmissionEvent, now: number, options: BatchAdmissionOptions): BatchAdmissionState {
  switch (event.type) {
    case 'online': return { ...state, online: event.count, busySince: state.online === 0 ? now : state.busySince, ...updatePeak(state, event.count, now) }
    case 'reported': return { ...state, reported: event.sequences }
    case 'started': return { ...state, streams: [...state.streams, { id: event.id, prefill: event.prefill, prefilled: false }], lastPrefill: event.prefill, ...applyPrefill(state, event.prefill, now) }
    case 'prefilled': return { ...state, streams: state.streams.map(stream => stream.id === event.id ? { ...stream, prefilled: true } : stream) }
    case 'ended': return { ...state, streams: state.streams.filter(({ id }) => id !== event.id) }
    case 'observed': return updateLimit({ ...state, gap: event.gap }, event.gap, now, options)
    case 'tick': return state
    default: return failUnreachable(event)
  }
}

function updatePeak ({ peak, peakAt }: BatchAdmissionState, online: number, now: number): { peak: number, peakAt: number } {
  const decayed = peak * 0.5 ** ((now - peakAt) / PEAK_HALF_LIFE)
  return { peak: Math.max(online, decayed), peakAt: now }
}

/** Adapts the limit of streams on an idle server by additive increase, multiplicative decrease (Chiu and Jain, 1989). */
function updateLimit (state: BatchAdmissionState, gap: number, now: number, { betweenTokens, maxInFlight }: BatchAdmissionOptions): BatchAdmissionState {
  if (now < state.limitChangedAt + LIMIT_PERIOD) return state
  if (gap > betweenTokens * TARGET_SHARE) return { ...state, limit: Math.max(1, state.limit * DECREASE), limitChangedAt: now }
  const full = state.streams.length + 1 >= state.limit
  return full ? { ...state, limit: Math.min(maxInFlight, state.limit + 1), limitChangedAt: now } : state
}

function planEffects (state: BatchAdmissionState, event: BatchAdmissionEvent, now: number, { policy, maxInFlight, before }: BatchAdmissionOptions & { readonly before: number }): readonly BatchAdmissionEffect[] {
  switch (policy.type) {
    case 'none': return []
    case 'forward': return startUpTo(state, maxInFlight)
    case 'static': return startUpTo(state, policy.streams ?? Math.floor(maxInFlight / 2))
    case 'load reports': return event.type === 'reported' ? planByReport(state, maxInFlight) : []
    case 'preempting': return planPreempting(state, now, { maxInFlight, before, paced: policy.longPrompts !== 'at once' })
    default: return failUnreachable(policy)
  }
}

function startUpTo ({ streams }: BatchAdmissionState, allowed: number): readonly BatchAdmissionEffect[] {
  return streams.length < allowed ? [{ type: 'start', count: allowed - streams.length, prefill: Infinity, largest: Infinity }] : []
}

/** Reserves twice the online load of the last report and leaves the rest to batch. */
function planByReport (state: BatchAdmissionState, maxInFlight: number): readonly BatchAdmissionEffect[] {
  const online = Math.max(0, state.reported - state.streams.length)
  const allowed = Math.max(0, maxInFlight - 2 * online)
  const excess = state.streams.slice(allowed)
  if (online > 0 && excess.length > 0) return excess.map(({ id }) => ({ type: 'preempt', id }))
  return startUpTo(state, allowed)
}
