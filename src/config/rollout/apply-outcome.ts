import type { Finding } from '../check/finding.js'

/** Outcome of an operator's change. Times in ms. */
export type ApplyOutcome =
  | { readonly type: 'accepted', readonly version: number, readonly changed: readonly string[] }
  /** The change is identical to the version it was based on. */
  | { readonly type: 'unchanged', readonly version: number }
  | { readonly type: 'findings', readonly findings: readonly Finding[] }
  /** Another change was accepted first; `files` are those changed since, undefined if the history doesn't reach back that far. */
  | { readonly type: 'conflict', readonly version: number, readonly files?: readonly string[], readonly more: number }
  /** Not accepted, and can't take effect later. */
  | { readonly type: 'not sent', readonly reason: string, readonly retryAfter: number }
  /** The change may have been accepted, or may still take effect. */
  | { readonly type: 'unknown', readonly reason: string }
