/** A call to the store; its reply comes back as an event with the same `attempt`. */
export type ClaimEffect =
  | { readonly type: 'read', readonly attempt: number }
  /** Write the candidate's name where the object has this version; 0 means that it must not exist. */
  | { readonly type: 'write', readonly attempt: number, readonly version: number }
