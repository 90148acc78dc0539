/**
 * Outcome of a swap.
 * - `accepted`: it took effect as this version.
 * - `refused`: another version was accepted first; this one has not taken effect and never will.
 * - `not sent`: nothing was written and never will be; it may be retried after `retryAfter` ms.
 * - `unknown`: it may have taken effect, or may still do so as long as the version is `basedOn`.
 */
export type VersionOutcome<T> =
  | { readonly type: 'accepted', readonly version: number }
  | { readonly type: 'refused', readonly version: number, readonly value?: T }
  | { readonly type: 'not sent', readonly reason: string, readonly retryAfter: number }
  | { readonly type: 'unknown', readonly reason: string }
