/** How one run of an item on a backend server ended. */
export type ItemOutcome =
  | { readonly type: 'completed' }
  /** Aborted by this daemon. */
  | { readonly type: 'stopped' }
  /** Rejected by the server, which ran none of it. */
  | { readonly type: 'refused' }
  /** Not sent, because its job could no longer be shown to be open (`withheld`), or because its server takes no new requests (`closed`). */
  | { readonly type: 'withheld', readonly detail: 'withheld' | 'closed' }
  /** Answered with the server's own error. */
  | { readonly type: 'failed' }
  /** Rejected as an item that no server can process. */
  | { readonly type: 'impossible' }
  /** The connection failed, or the response was cut, invalid or of an unexpected status. */
  | { readonly type: 'lost', readonly detail: string }
