import type { AccountEntry } from '../admission/account/account-entry.js'

interface CompletedAnswer {
  readonly status: number
  /** Why the answer was incomplete or failed, if it did. */
  readonly failure?: string
  readonly tokens: number
  readonly first?: number
  readonly whole: number
}

/** Returns the usage accounting entry for an answer sent to a caller. A server error counts as a failure, under its status. */
export function findAccountEntry ({ status, failure, tokens, first, whole }: CompletedAnswer): AccountEntry {
  if (failure !== undefined) return { type: 'failed', cause: failure }
  return status >= 500 ? { type: 'failed', cause: `status-${status}` } : { type: 'answered', tokens, first, whole }
}
