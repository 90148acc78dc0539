/** Where a new stream of a pool may begin. */
export type Beginning =
  | { readonly type: 'any' }
  /** The store can't record other versions now; streams of this one need no record. */
  | { readonly type: 'default', readonly version: string }
  /** The store can't be written, and hasn't been read: no version is known to need no record. */
  | { readonly type: 'unknown' }
