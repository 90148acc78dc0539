/** What changes the quarantine's state. `lost` and `accused` are the same fact, seen here or heard from a peer. */
export type QuarantineEvent =
  | { readonly type: 'began', readonly exchange: number, readonly fingerprint: string, readonly server: string }
  | { readonly type: 'ended', readonly exchange: number }
  | { readonly type: 'lost', readonly server: string }
  | { readonly type: 'accused', readonly fingerprints: readonly string[], readonly server: string }
  | { readonly type: 'cleared', readonly fingerprint: string }
