import type { MembershipEffect } from './membership-effect.js'
import type { MembershipState } from './membership-state.js'

/** Result of one event. */
export interface MembershipStep {
  readonly state: MembershipState
  readonly effects: readonly MembershipEffect[]
}
