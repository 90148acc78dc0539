/** What happens to a claim. `attempt` of a reply is that of the effect it answers. */
export type ClaimEvent =
  /** The candidate should hold the claim, as far as it knows. */
  | { readonly type: 'want' }
  | { readonly type: 'release' }
  /** The present object; version 0 and no holder where there is none. */
  | { readonly type: 'read', readonly attempt: number, readonly holder?: string, readonly version: number }
  | { readonly type: 'written', readonly attempt: number, readonly version: number }
  /** Another wrote first, or the store didn't answer, or the fate of the write isn't known. */
  | { readonly type: 'failed', readonly attempt: number }
  /** An action is ahead that needs a fresh proof. */
  | { readonly type: 'confirm' }
  /** The process stood still. */
  | { readonly type: 'paused' }
  | { readonly type: 'tick' }
