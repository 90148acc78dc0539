/**
 * Why a call to the object API failed. For a write, all but `unknown` say that it has not taken effect and never will.
 * - `conflict`: the version differs from the expected one; nothing was written.
 * - `missing`: there is no such object.
 * - `limited`: refused by the platform's rate or the daemon's share of it; nothing was done; wait `retryAfter` ms.
 * - `unavailable`: the platform is out; a write was never sent, or refused outright; it may be tried again.
 * - `unknown`: a write whose reply was lost and whose fate could not be settled: it may have taken effect, or may still
 *   do so as long as the object's version is the one it expects. Read the object before deciding anew.
 * - `invalid`: refused as malformed or too large; trying again is of no use.
 */
export type StoreError =
  | { readonly type: 'conflict', readonly version: number }
  | { readonly type: 'missing' }
  | { readonly type: 'limited', readonly retryAfter: number }
  | { readonly type: 'unavailable', readonly reason: string }
  | { readonly type: 'unknown', readonly reason: string }
  | { readonly type: 'invalid', readonly reason: string }
