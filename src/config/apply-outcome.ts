import type { Finding } from './finding.js'

/** What became of an operator's change. Times in ms. */
export type ApplyOutcome =
  | { readonly type: 'accepted', readonly version: number, readonly changed: readonly string[] }
  /** Nothing differs from the version it was based on. */
  | { readonly type: 'unchanged', readonly version: number }
  | { readonly type: 'findings', readonly findings: readonly Finding[] }
  /** Another change came first; `files` are those that differ since, undefined where the history is too short. */
  | { readonly type: 'conflict', readonly version: number, readonly files?: readonly string[], readonly more: number }
  /** It has not been accepted and won't be. */
  | { readonly type: 'not sent', readonly reason: string, readonly retryAfter: number }
  /** It may have been accepted, or may still be. */
  | { readonly type: 'unknown', readonly reason: string }
