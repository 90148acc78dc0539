import type { Suspect } from './suspect.js'

/**
 * An event that changes the quarantine's state.
 * - `began`, `ended`: an exchange of this daemon started or finished.
 * - `lost`: this daemon detected that a server's process exited. `unsent` are exchanges of which no byte can have been sent.
 * - `accused`: another daemon reported the requests that were in flight at a lost server.
 * - `passed`: the request was answered completely.
 * - `released`: an operator cleared the fingerprint.
 * - `merged`: another daemon's record of the fingerprint.
 *
 * `ago` is the time in ms since the loss was first detected.
 */
export type QuarantineEvent =
  | { readonly type: 'began', readonly exchange: number, readonly fingerprint: string, readonly server: string }
  | { readonly type: 'ended', readonly exchange: number }
  | { readonly type: 'lost', readonly server: string, readonly ago?: number, readonly unsent?: ReadonlySet<number> }
  | { readonly type: 'accused', readonly fingerprints: readonly string[], readonly server: string, readonly ago?: number }
  | { readonly type: 'passed', readonly fingerprint: string }
  | { readonly type: 'released', readonly fingerprint: string }
  | { readonly type: 'merged', readonly fingerprint: string, readonly received: Omit<Suspect, 'until'> }
