import type { MembershipMessage } from './membership-message.js'

/** What a step asks for: a message that may be lost. */
export interface MembershipEffect {
  readonly to: string
  readonly message: MembershipMessage
}
