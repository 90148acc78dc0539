/**
 * Why a call to the object API failed. For a write, any type but `unknown` means that it has not taken effect and never will.
 * - `conflict`: the version differs from the expected one; nothing was written.
 * - `missing`: the object doesn't exist.
 * - `limited`: refused by the platform's rate limit or this daemon's budget; nothing was done; retry after `retryAfter` ms.
 * - `unavailable`: the platform is unavailable; a write was not sent, or was refused; it may be retried.
 * - `unknown`: a write whose reply was lost and whose outcome could not be determined: it may have taken effect, or may
 *   still do so while the object has the expected version. Read the object before writing again.
 * - `invalid`: refused as malformed or too large; a retry fails too.
 */
export type StoreError =
  | { readonly type: 'conflict', readonly version: number }
  | { readonly type: 'missing' }
  | { readonly type: 'limited', readonly retryAfter: number }
  | { readonly type: 'unavailable', readonly reason: string }
  | { readonly type: 'unknown', readonly reason: string }
  | { readonly type: 'invalid', readonly reason: string }
