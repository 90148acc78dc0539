import type { Refusal } from '../admission/refusal.js'

/** A broker's message to a daemon. `g` numbers the changes sent to one daemon; a load report acknowledges them up to a number. */
export type SlotResponse =
  /** `free`: remaining slots of the group. */
  | { readonly type: 'grant', readonly n: number, readonly g: number, readonly server: string, readonly free: number }
  /** The request waits in the broker's queue. */
  | { readonly type: 'queued', readonly n: number }
  | { readonly type: 'refused', readonly n: number, readonly refusal: Refusal }
  | { readonly type: 'batch', readonly g: number, readonly server: string, readonly pool: string }
  /** The daemon must stop one of its batch items at the server. */
  | { readonly type: 'revoke', readonly g: number, readonly server: string }
  /** Confirms a bid; `isBroker`: whether the sender considers itself the group's broker. */
  | { readonly type: 'bid', readonly pool: string, readonly group: number, readonly isBroker: boolean }
  /** Response to a probe. */
  | { readonly type: 'here' }
