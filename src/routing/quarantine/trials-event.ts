/**
 * An event at the trial coordinator. Daemons repeat `ask` and `hold` for as long as they apply.
 * - `ask`: requests a trial at one of the servers.
 * - `hold`: an exchange was in flight at the server when its request became suspect, and still is.
 * - `ready`: the daemon knows of these suspects, has reported its holds, and sends them by trial only.
 * - `done`: withdraws an ask, or ends a trial or a hold.
 */
export type TrialsEvent =
  | { readonly type: 'ask', readonly id: string, readonly fingerprint: string, readonly servers: readonly string[] }
  | { readonly type: 'hold', readonly id: string, readonly fingerprint: string, readonly server: string }
  | { readonly type: 'ready', readonly daemon: string, readonly fingerprints: readonly string[] }
  | { readonly type: 'done', readonly id: string }
