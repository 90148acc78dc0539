/** An event at a server, as seen by its owner. */
export type BatchAdmissionEvent =
  /** The number of online requests in flight at the server, summed over all daemons. */
  | { readonly type: 'online', readonly count: number }
  /** A load report of the server: sequences that were running or waiting some time ago. */
  | { readonly type: 'reported', readonly sequences: number }
  | { readonly type: 'started', readonly id: string, readonly prefill: number }
  | { readonly type: 'prefilled', readonly id: string }
  | { readonly type: 'ended', readonly id: string }
  /** Mean time between tokens of the batch streams since the last such event, ms. */
  | { readonly type: 'observed', readonly gap: number }
  | { readonly type: 'tick' }
