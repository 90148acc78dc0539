/**
 * What changes a fair queue. `cost` is the time, in ms, for which a request is expected to hold its place, and
 * `share` the weight of its caller.
 * - `admitted`: let in without a wait, because there was a place and nobody waited.
 * - `queued`: waits.
 * - `taken`: the first one waiting is let in.
 * - `dropped`: gave up waiting, and had nothing.
 * - `held`: the place was held for `excess` ms more than expected, or fewer if negative.
 */
export type FairQueueEvent =
  | { readonly type: 'admitted', readonly caller: string, readonly share: number, readonly cost: number }
  | { readonly type: 'queued', readonly id: number, readonly caller: string, readonly share: number, readonly cost: number }
  | { readonly type: 'taken' }
  | { readonly type: 'dropped', readonly id: number, readonly share: number, readonly cost: number }
  | { readonly type: 'held', readonly caller: string, readonly share: number, readonly excess: number }
