/**
 * What became of a call: answered; refused by the platform for its rate or an outage, so that nothing was done; never
 * sent; or sent without an answer, in which case a write may have taken effect, or may still do so.
 */
export type ApiAnswer =
  | { readonly type: 'answered', readonly status: number, readonly body: any }
  | { readonly type: 'limited', readonly retryAfter: number }
  | { readonly type: 'out', readonly reason: string }
  | { readonly type: 'not sent', readonly reason: string }
  | { readonly type: 'no answer', readonly reason: string }
