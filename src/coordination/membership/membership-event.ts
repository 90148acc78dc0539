import type { MembershipMessage } from './membership-message.js'

/** An event of a member. */
export type MembershipEvent =
  /** Time has passed; required every 100 to 250 ms. */
  | { readonly type: 'tick' }
  | { readonly type: 'message', readonly from: string, readonly message: MembershipMessage }
  /** Members by an external list. It may lag: it seeds and confirms members, but never makes one dead. */
  | { readonly type: 'listed', readonly members: readonly { readonly name: string, readonly data: Readonly<Record<string, string | number>> }[] }
  /** This process was paused; `incarnation` is higher than all it had before. */
  | { readonly type: 'paused', readonly incarnation: number }
  /** The process of a member has certainly ended, that of `incarnation`: its address refuses connections. */
  | { readonly type: 'ended', readonly name: string, readonly incarnation: number }
  /** This member's own data has changed. */
  | { readonly type: 'updated', readonly data: Readonly<Record<string, string | number>> }
  | { readonly type: 'leave' }
  /** This member ends now in an orderly way, so that the others needn't suspect it first. */
  | { readonly type: 'end' }
