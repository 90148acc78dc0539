/**
 * What changes the quarantine's state. `lost` and `accused` are the same fact, seen here or heard from a peer; `unsent`
 * are exchanges of which no byte can have reached the server, and `ago` is how long ago, in ms, the loss was first known. `passed`: it was answered whole.
 */
export type QuarantineEvent =
  | { readonly type: 'began', readonly exchange: number, readonly fingerprint: string, readonly server: string }
  | { readonly type: 'ended', readonly exchange: number }
  | { readonly type: 'lost', readonly server: string, readonly ago?: number, readonly unsent?: ReadonlySet<number> }
  | { readonly type: 'accused', readonly fingerprints: readonly string[], readonly server: string, readonly ago?: number }
  | { readonly type: 'passed', readonly fingerprint: string }
  | { readonly type: 'released', readonly fingerprint: string }
