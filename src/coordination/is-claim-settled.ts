import { claimDefaults } from './claim-defaults.js'
import type { ClaimOptions } from './claim-options.js'
import type { ClaimState } from './claim-state.js'

/** Clocks of two processes may run apart by this share. */
const MAX_CLOCK_DRIFT = 0.1

/**
 * Whether every earlier holder's actions have had their effect or never will, so that an action may begin even
 * where its target ignores fencing numbers. An earlier holder's last proof was sent before ours was written; it
 * begins nothing `authority` ms after that, and what it began takes effect within `longestAction` ms.
 *
 * @example
 * if (isClaimProven(state, now, options) && (checksFencing || isClaimSettled(state, now, options))) send(order)
 */
export function isClaimSettled (state: ClaimState, now: number, { authority = claimDefaults.authority, longestAction = claimDefaults.longestAction }: ClaimOptions): boolean {
  return state.type === 'held' && now >= state.takenAt + (authority + longestAction) * (1 + MAX_CLOCK_DRIFT)
}
