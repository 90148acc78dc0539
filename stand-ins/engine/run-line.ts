/** A line that a marking engine adds to its run file. */
export type RunLine =
  /** `resumed` answer tokens were given by earlier runs; `from` is their hash. */
  | { readonly type: 'started', readonly id: string, readonly run: string, readonly resumed: number, readonly from: string }
  | { readonly type: 'ended', readonly run: string, readonly outcome: 'finished' | 'cancelled' }
