/** What happens at a server, as its owner sees it. */
export type BatchAdmissionEvent =
  /** The number of online requests in flight there, over all daemons. */
  | { readonly type: 'online', readonly count: number }
  /** A load report has come: sequences running and waiting some time ago. */
  | { readonly type: 'reported', readonly sequences: number }
  | { readonly type: 'started', readonly id: string, readonly prefill: number }
  | { readonly type: 'prefilled', readonly id: string }
  | { readonly type: 'ended', readonly id: string }
  /** Mean time between tokens of the batch streams since the last such event, ms. */
  | { readonly type: 'observed', readonly gap: number }
  | { readonly type: 'tick' }
