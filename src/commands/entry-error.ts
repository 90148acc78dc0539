/** Error of a call to a daemon: it couldn't be reached, or it refused with a problem document. */
export type EntryError =
  | { readonly type: 'unreachable', readonly detail: string }
  | { readonly type: 'refused', readonly status: number, readonly detail: string, readonly retryAfter?: number }
