/**
 * One candidate's view of one claim. `attempt` numbers the calls to the store, so that a reply that comes late is
 * told from the one that is waited for. Times are monotonic ms of the candidate's own clock.
 */
export type ClaimState =
  | { readonly type: 'idle', readonly attempt: number }
  | { readonly type: 'reading', readonly attempt: number }
  | { readonly type: 'writing', readonly attempt: number, readonly sentAt: number }
  | { readonly type: 'waiting', readonly attempt: number, readonly until: number }
  | {
    readonly type: 'held'
    readonly attempt: number
    /** Version of the claim's object: the fencing number. */
    readonly version: number
    /** When the write that last proved the claim was sent. */
    readonly confirmedAt: number
    /** When this candidate learned that it had taken the claim. */
    readonly takenAt: number
    /** When a confirming write was sent whose reply is awaited. */
    readonly confirming?: number
    /** When to read again whether the claim is still ours. */
    readonly checkAt: number
  }
