/** A line that an engine with a run mark appends to its run file. */
export type RunLine =
  /** `resumed` is the number of answer tokens from earlier runs; `from` is their hash. */
  | { readonly type: 'started', readonly id: string, readonly run: string, readonly resumed: number, readonly from: string }
  | { readonly type: 'ended', readonly run: string, readonly outcome: 'finished' | 'cancelled' }
