/**
 * One candidate's view of one claim. `attempt` numbers the calls to the store, so that late replies to earlier calls
 * are recognised. Times are monotonic ms of the candidate's own clock.
 */
export type ClaimState =
  | { readonly type: 'idle', readonly attempt: number }
  | { readonly type: 'reading', readonly attempt: number }
  | { readonly type: 'writing', readonly attempt: number, readonly sentAt: number }
  | { readonly type: 'waiting', readonly attempt: number, readonly until: number }
  | {
    readonly type: 'held'
    readonly attempt: number
    /** Version of the claim's object, which is the fencing number. */
    readonly version: number
    /** When the write that last proved the claim was sent. */
    readonly confirmedAt: number
    /** When this candidate learned that it had claimed it. */
    readonly takenAt: number
    /** When a confirming write was sent that hasn't been answered yet. */
    readonly confirming?: number
    /** When to read the claim again, to check that it is still held. */
    readonly checkAt: number
  }
