import { failUnreachable } from '../kernel/unreachable.js'
import type { FairQueueEvent } from './fair-queue-event.js'
import type { FairQueueState } from './fair-queue-state.js'

/** Callers above which those who are owed nothing are forgotten. */
const MAX_TRACKED_CALLERS = 1_000
/** Requests that a caller who was idle may have ahead of its share. */
const BURST = 10

/**
 * Start-time fair queuing. Each request starts, in virtual time, where its caller's share is used up to, or now if
 * that is earlier, and the earliest start goes first: while several callers wait, each gets places in proportion to
 * its share, and one that has been idle goes ahead of one that hasn't, by no more than a short burst. Nobody waits
 * while there is a place, so that an idle share is lent out; it isn't paid back.
 *
 * Source: Goyal, Vin and Cheng, "Start-time fair queueing", 1996. Costs are corrected when the place is given back,
 * since they aren't known at the start.
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

/** Arrivals come in clumps: without the burst, a caller well below its share would wait for its own second request. */
function findStart ({ virtualTime, usedUntil }: FairQueueState, { caller, share, cost }: { readonly caller: string, readonly share: number, readonly cost: number }): number {
  return Math.max(virtualTime - BURST * cost / share, usedUntil.get(caller) ?? 0)
}

function use (state: FairQueueState, caller: string, until: number): FairQueueState {
  return { ...state, usedUntil: new Map(state.usedUntil).set(caller, until) }
}

/** Gives its time back to its caller, whose later requests move up by as much. */
function drop (state: FairQueueState, { id, share, cost }: { readonly id: number, readonly share: number, readonly cost: number }): FairQueueState {
  const dropped = state.waiting.find(other => other.id === id)
  if (dropped === undefined) return state
  const { caller } = dropped
  const waiting = state.waiting.filter(other => other.id !== id)
    .map(other => other.caller === caller && other.start > dropped.start ? { ...other, start: other.start - cost / share } : other)
    .sort((a, b) => a.start - b.start)
  return use({ ...state, waiting }, caller, state.usedUntil.get(caller)! - cost / share)
}

/** A caller whose share isn't used up to now starts now whether or not it is known. */
function forget (state: FairQueueState): FairQueueState {
  if (state.usedUntil.size <= MAX_TRACKED_CALLERS) return state
  return { ...state, usedUntil: new Map([...state.usedUntil].filter(([, until]) => until > state.virtualTime)) }
}
