/**
 * Whether a request may be sent by its caller's quota. `refused`: the quota is used up; a token may be there after `retryAfter` ms.
 * `unknown`: no holder of the quota answered.
 */
export type QuotaDecision =
  | { readonly type: 'granted' }
  | { readonly type: 'refused', readonly retryAfter: number }
  | { readonly type: 'unknown' }
