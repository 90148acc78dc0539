import { failUnreachable } from '../../kernel/unreachable.js'
import type { FairQueueEvent } from './fair-queue-event.js'
import type { FairQueueState } from './fair-queue-state.js'

/** Number of callers above which those without outstanding use are forgotten. */
const MAX_TRACKED_CALLERS = 1_000
/** Requests that a caller which was idle may have ahead of its share. */
const BURST = 10

/**
 * Start-time fair queueing. Each request starts, in virtual time, at the end of what its caller has used of its share, but no
 * earlier than a short burst before now, and the earliest start is admitted first. While several callers wait, each is admitted
 * in proportion to its share, and one that has been idle goes ahead of the others by no more than the burst. No request waits
 * while a slot is free: an idle share is lent out and not paid back.
 *
 * Source: Goyal, Vin and Cheng, "Start-time fair queueing", 1996. Costs are corrected when the slot becomes free, because they
 * aren't known at the start.
 */
export function stepFairQueue (state: FairQueueState, event: FairQueueEvent): FairQueueState {
  switch (event.type) {
    case 'admitted': {
      const start = findStart(state, event)
      return forget(use({ ...state, virtualTime: Math.max(state.virtualTime, start) }, event.caller, start + event.cost / event.share))
    }
    case 'queued': {
      const { id, caller, share, cost } = event
      const start = findStart(state, event)
      const at = state.waiting.findIndex(other => other.start > start)
      const waiting = [...state.waiting]
      waiting.splice(at < 0 ? waiting.length : at, 0, { id, caller, start })
      return use({ ...state, waiting }, caller, start + cost / share)
    }
    case 'taken': {
      const [first, ...waiting] = state.waiting
      return first === undefined ? state : forget({ ...state, waiting, virtualTime: Math.max(state.virtualTime, first.start) })
    }
    case 'dropped': return drop(state, event)
    case 'held': return use(state, event.caller, (state.usedUntil.get(event.caller) ?? state.virtualTime) + event.excess / event.share)
    default: return failUnreachable(event)
  }
}

/** Requests arrive in bursts: without the allowance, a caller well below its share would wait behind its own previous request. */
function findStart ({ virtualTime, usedUntil }: FairQueueState, { caller, share, cost }: { readonly caller: string, readonly share: number, readonly cost: number }): number {
  return Math.max(virtualTime - BURST * cost / share, usedUntil.get(caller) ?? 0)
}

function use (state: FairQueueState, caller: string, until: number): FairQueueState {
  return { ...state, usedUntil: new Map(state.usedUntil).set(caller, until) }
}

/** Removes a request and returns its cost to the caller, whose later requests move forward by as much. */
function drop (state: FairQueueState, { id, share, cost }: { readonly id: number, readonly share: number, readonly cost: number }): FairQueueState {
  const dropped = state.waiting.find(other => other.id === id)
  if (dropped === undefined) return state
  const { caller } = dropped
  const waiting = state.waiting.filter(other => other.id !== id)
    .map(other => other.caller === caller && other.start > dropped.start ? { ...other, start: other.start - cost / share } : other)
    .sort((a, b) => a.start - b.start)
  return use({ ...state, waiting }, caller, state.usedUntil.get(caller)! - cost / share)
}

/** Forgets callers without outstanding use once there are too many. */
function forget (state: FairQueueState): FairQueueState {
  if (state.usedUntil.size <= MAX_TRACKED_CALLERS) return state
  return { ...state, usedUntil: new Map([...state.usedUntil].filter(([, until]) => until > state.virtualTime)) }
}
