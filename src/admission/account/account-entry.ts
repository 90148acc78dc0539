/** An event to count for a caller. Times in ms. */
export type AccountEntry =
  | { readonly type: 'asked' }
  /** `first` is the time to the first bytes of a stream, `whole` to the end of the answer. */
  | { readonly type: 'answered', readonly tokens: number, readonly first?: number, readonly whole?: number }
  | { readonly type: 'refused', readonly cause: string }
  | { readonly type: 'failed', readonly cause: string }
  | { readonly type: 'waited', readonly time: number }
  /** Server time used in a minute in which requests waited, and what the share entitled the caller to. */
  | { readonly type: 'shared', readonly got: number, readonly entitled: number }
  | { readonly type: 'job', readonly outcome: 'on time' | 'late' | 'cancelled' }
