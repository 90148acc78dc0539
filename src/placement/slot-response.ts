import type { Refusal } from '../admission/refusal.js'

/** What a broker says. `g` numbers the changes that it told one daemon; a daemon's rows say up to which they hold. */
export type SlotResponse =
  /** `free`: slots of the group that are left. */
  | { readonly type: 'grant', readonly n: number, readonly g: number, readonly server: string, readonly free: number }
  /** The request waits in the broker's queue. */
  | { readonly type: 'queued', readonly n: number }
  | { readonly type: 'refused', readonly n: number, readonly refusal: Refusal }
  | { readonly type: 'batch', readonly g: number, readonly server: string, readonly pool: string }
  /** One batch item of the daemon at the server is to stop. */
  | { readonly type: 'revoke', readonly g: number, readonly server: string }
  /** The broker is there. */
  | { readonly type: 'here' }
