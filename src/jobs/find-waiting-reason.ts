import type { Route } from '../config/route.js'
import type { PartDecision } from '../routing/blame/part-decision.js'
import { failUnreachable } from '../kernel/unreachable.js'
import type { ItemState } from './item-state.js'
import type { WaitingReason } from './waiting-reason.js'

interface WaitingInputs {
  readonly state: Pick<ItemState, 'phase' | 'last' | 'version' | 'notBefore'>
  readonly route: Route | undefined
  /** Whether a recent read of the store shows that the job has not been ended. */
  readonly isLookedUp: boolean
  /** Whether the last run of the item hasn't ended yet. */
  readonly isBusy: boolean
  /** Until when the item waits for a server of the version that began it; undefined if it has begun nowhere. */
  readonly boundUntil: number | undefined
  /** Decides by the parts of the item's prompt. Called only if nothing else keeps it from starting, since it may ask for a trial. */
  readonly checkParts: () => PartDecision
  readonly now: number
}

/**
 * Finds why an unfinished item is at no server. It may start on a granted slot only for the reasons `slot` and `version`.
 *
 * @example
 * findWaitingReason({ state, route: undefined, isLookedUp: true, isBusy: false, boundUntil: undefined, checkParts, now }) // { type: 'route' }
 */
export function findWaitingReason ({ state, route, isLookedUp, isBusy, boundUntil, checkParts, now }: WaitingInputs): WaitingReason {
  if (state.phase === 'ended') return { type: 'storing' }
  if (route?.jobs === undefined) return { type: 'route' }
  if (!route.services.some(({ weight }) => weight > 0)) return { type: 'service' }
  if (!isLookedUp) return { type: 'look-up' }
  if (isBusy) return { type: 'stopping' }
  if (now < state.notBefore) return { type: 'backoff', until: state.notBefore }
  const decision = checkParts()
  switch (decision.type) {
    case 'wait': return { type: 'suspect part', part: decision.part }
    case 'refused': return { type: 'refused part', part: decision.part, left: decision.left }
    case 'clear': {
      const trial = decision.trial === undefined ? {} : { trial: decision.trial }
      return boundUntil === undefined || now >= boundUntil ? { type: 'slot', ...trial } : { type: 'version', version: state.version ?? '', until: boundUntil, ...trial }
    }
    default: return failUnreachable(decision)
  }
}
