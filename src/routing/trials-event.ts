/**
 * What the daemon that gives trials out hears. `ask` and `hold` are repeated for as long as they are meant.
 * - `ask`: wants a trial at one of the servers.
 * - `hold`: was in flight at the server when it became suspect, and still is.
 * - `done`: wants it no more, or has ended.
 */
export type TrialsEvent =
  | { readonly type: 'ask', readonly id: string, readonly fingerprint: string, readonly servers: readonly string[] }
  | { readonly type: 'hold', readonly id: string, readonly fingerprint: string, readonly server: string }
  | { readonly type: 'done', readonly id: string }
