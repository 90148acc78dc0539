/**
 * What the daemon that gives trials out hears. `ask` and `hold` are repeated for as long as they are meant.
 * - `ask`: wants a trial at one of the servers.
 * - `hold`: was in flight at the server when it became suspect, and still is.
 * - `ready`: the daemon knows that they are suspect, and has told its holds; it sends them by trial only.
 * - `done`: wants it no more, or has ended.
 */
export type TrialsEvent =
  | { readonly type: 'ask', readonly id: string, readonly fingerprint: string, readonly servers: readonly string[] }
  | { readonly type: 'hold', readonly id: string, readonly fingerprint: string, readonly server: string }
  | { readonly type: 'ready', readonly daemon: string, readonly fingerprints: readonly string[] }
  | { readonly type: 'done', readonly id: string }
