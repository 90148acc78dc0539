/**
 * Why a call to the object API failed.
 * - `conflict`: the version differs from the expected one; nothing was written.
 * - `missing`: there is no such object.
 * - `limited`: refused by the rate limit; nothing was done; wait `retryAfter` ms.
 * - `unavailable`: no answer and, for a write, read back to no effect; it may be tried again.
 * - `unknown`: a write whose fate could not be settled: it may or may not have taken effect.
 * - `invalid`: refused as malformed or too large; trying again is of no use.
 */
export type StoreError =
  | { readonly type: 'conflict', readonly version: number }
  | { readonly type: 'missing' }
  | { readonly type: 'limited', readonly retryAfter: number }
  | { readonly type: 'unavailable', readonly reason: string }
  | { readonly type: 'unknown', readonly reason: string }
  | { readonly type: 'invalid', readonly reason: string }
