import type { MembershipMessage } from './membership-message.js'

/** A message to send; it may be lost. */
export interface MembershipEffect {
  readonly to: string
  readonly message: MembershipMessage
}
