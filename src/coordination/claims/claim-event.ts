/** An event of a claim. The `attempt` of a reply is that of the effect that it answers. */
export type ClaimEvent =
  /** The candidate should hold the claim, by its own view. */
  | { readonly type: 'want' }
  | { readonly type: 'release' }
  /** The present object; version 0 and no holder if it doesn't exist. */
  | { readonly type: 'read', readonly attempt: number, readonly holder?: string, readonly version: number }
  | { readonly type: 'written', readonly attempt: number, readonly version: number }
  /** Another candidate wrote first, the store didn't answer, or the result of the write is unknown. */
  | { readonly type: 'failed', readonly attempt: number }
  /** A fresh proof is needed for an action. */
  | { readonly type: 'confirm' }
  /** The process was paused. */
  | { readonly type: 'paused' }
  | { readonly type: 'tick' }
