/** The recorded outcome of one item. Once recorded it never changes. */
export type ItemResult =
  | { readonly type: 'completed', readonly status: number, readonly body: unknown }
  | { readonly type: 'failed', readonly cause: string, readonly detail: string }
