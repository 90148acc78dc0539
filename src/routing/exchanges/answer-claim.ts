/**
 * What the head of an answer says about the request.
 * - `run`: the server has run it, or may have.
 * - `not run`: the server says of this request that it did not run it.
 * - `unproved`: the answer says, or its status promises, that something was not run, but not that it was this request. It must not be relayed.
 * - `foreign`: it belongs to another request.
 */
export type AnswerClaim =
  | { readonly type: 'run' }
  | { readonly type: 'not run' }
  | { readonly type: 'unproved', readonly detail: string }
  | { readonly type: 'foreign', readonly id: string }
