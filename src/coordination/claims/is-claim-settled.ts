import { claimDefaults } from './claim-defaults.js'
import type { ClaimOptions } from './claim-options.js'
import type { ClaimState } from './claim-state.js'

/** Largest relative difference between the clock rates of two processes. */
const MAX_CLOCK_DRIFT = 0.1

/**
 * Whether the actions of all earlier holders have taken effect or never will, so that an action may start even if its
 * target ignores fencing numbers. An earlier holder's last proof was sent before this one's claim was written; it
 * starts no action `authority` ms after that, and actions take effect within `longestAction` ms.
 *
 * @example
 * if (isClaimProven(state, now, options) && (checksFencing || isClaimSettled(state, now, options))) send(order)
 */
export function isClaimSettled (state: ClaimState, now: number, { authority = claimDefaults.authority, longestAction = claimDefaults.longestAction }: ClaimOptions): boolean {
  return state.type === 'held' && now >= state.takenAt + (authority + longestAction) * (1 + MAX_CLOCK_DRIFT)
}
