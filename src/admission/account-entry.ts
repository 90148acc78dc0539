/** One thing to count for a caller. Times in ms. */
export type AccountEntry =
  | { readonly type: 'asked' }
  | { readonly type: 'answered', readonly tokens: number }
  | { readonly type: 'refused', readonly cause: string }
  | { readonly type: 'failed', readonly cause: string }
  | { readonly type: 'waited', readonly time: number }
