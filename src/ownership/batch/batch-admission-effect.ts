/** An action for the owner of a server. */
export type BatchAdmissionEffect =
  /**
   * Start up to `count` items that together prefill at most `prefill` tokens; the first item may exceed this. No item
   * may exceed `largest` tokens. Each started item is reported back by a `started` event.
   */
  | { readonly type: 'start', readonly count: number, readonly prefill: number, readonly largest: number }
  /** Close the stream, keep its tokens and give the item back; reported back by an `ended` event. */
  | { readonly type: 'preempt', readonly id: string }
