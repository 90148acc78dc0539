/** What the owner of a server is to do. */
export type BatchAdmissionEffect =
  /**
   * Start up to `count` items as long as what they have to prefill stays within `prefill` tokens; the first may go
   * beyond it. None may have more than `largest`. Each that is started comes back as an event.
   */
  | { readonly type: 'start', readonly count: number, readonly prefill: number, readonly largest: number }
  /** Close the stream, keep its tokens and give the item back; comes back as `ended`. */
  | { readonly type: 'preempt', readonly id: string }
