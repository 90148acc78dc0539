/** Why a command got no answer it can use: nobody answered, or the daemon refused with a problem document. */
export type EntryError =
  | { readonly type: 'unreachable', readonly detail: string }
  | { readonly type: 'refused', readonly status: number, readonly detail: string, readonly retryAfter?: number }
