/**
 * The outcome of one call.
 * - `answered`: the platform answered, with any status but those below.
 * - `limited`, `out`: the platform refused the call for its rate limit or an outage; nothing was done.
 * - `not sent`: the call never left this process.
 * - `no answer`: the call was sent without an answer; a write may have taken effect, or may still do so.
 */
export type ApiAnswer =
  | { readonly type: 'answered', readonly status: number, readonly body: any }
  | { readonly type: 'limited', readonly retryAfter: number }
  | { readonly type: 'out', readonly reason: string }
  | { readonly type: 'not sent', readonly reason: string }
  | { readonly type: 'no answer', readonly reason: string }
