import { claimDefaults } from './claim-defaults.js'
import type { ClaimOptions } from './claim-options.js'
import type { ClaimState } from './claim-state.js'

/**
 * Whether a recent write proves the claim, so that an action may start now if its target checks the fencing number.
 * Check it in the same turn in which the action is sent.
 *
 * @example
 * if (isClaimProven(state, clock.now(), { self })) send({ fencing: state.version })
 */
export function isClaimProven (state: ClaimState, now: number, { authority = claimDefaults.authority }: ClaimOptions): boolean {
  return state.type === 'held' && now < state.confirmedAt + authority
}
