/** How a relay treats a connection. `delay` applies to bytes that arrive from then on, ms. */
export type RelayMode =
  | { readonly type: 'open' }
  /** Neither bytes nor the close of either side are forwarded, as on a network that drops all packets. */
  | { readonly type: 'silent' }
  /** Bytes from the opener are forwarded, those to it are held back. */
  | { readonly type: 'answers held' }
  | { readonly type: 'delayed', readonly delay: number }
  /** Open connections are reset; new ones are forwarded. */
  | { readonly type: 'reset' }
