/**
 * An event of a fair queue. `cost` is the time for which a request is expected to hold its slot, ms, and `share` the weight of
 * its caller.
 * - `admitted`: admitted without waiting, because a slot was free and no request waited.
 * - `queued`: starts to wait.
 * - `taken`: the first waiting request is admitted.
 * - `dropped`: removed from the queue without having been admitted.
 * - `held`: the slot was held for `excess` ms longer than expected, or shorter if negative.
 */
export type FairQueueEvent =
  | { readonly type: 'admitted', readonly caller: string, readonly share: number, readonly cost: number }
  | { readonly type: 'queued', readonly id: number, readonly caller: string, readonly share: number, readonly cost: number }
  | { readonly type: 'taken' }
  | { readonly type: 'dropped', readonly id: number, readonly share: number, readonly cost: number }
  | { readonly type: 'held', readonly caller: string, readonly share: number, readonly excess: number }
