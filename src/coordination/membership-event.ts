import type { MembershipMessage } from './membership-message.js'

/** What happens to a member. */
export type MembershipEvent =
  /** Time has passed; due every 100 to 250 ms. */
  | { readonly type: 'tick' }
  | { readonly type: 'message', readonly from: string, readonly message: MembershipMessage }
  /** Members that a list from outside knows. It may lag: it seeds and confirms, and never declares anybody dead. */
  | { readonly type: 'listed', readonly members: readonly { readonly name: string, readonly data: Readonly<Record<string, string | number>> }[] }
  /** This process stood still; `incarnation` is above all it had before. */
  | { readonly type: 'paused', readonly incarnation: number }
  /** The process of a member has ended for certain, that which was of `incarnation`: its address refuses connections. */
  | { readonly type: 'ended', readonly name: string, readonly incarnation: number }
  /** This member has news of itself. */
  | { readonly type: 'updated', readonly data: Readonly<Record<string, string | number>> }
  | { readonly type: 'leave' }
  /** It ends now, in good order: the others need not suspect it first. */
  | { readonly type: 'end' }
