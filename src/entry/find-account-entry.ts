import type { AccountEntry } from '../admission/account-entry.js'

interface CompletedAnswer {
  readonly status: number
  /** Why it broke off, if it did. */
  readonly failure?: string
  readonly tokens: number
  readonly first?: number
  readonly whole: number
}

/** How an answer given to a caller is counted. One with which the server says that it failed itself is a failure, under its status. */
export function findAccountEntry ({ status, failure, tokens, first, whole }: CompletedAnswer): AccountEntry {
  if (failure !== undefined) return { type: 'failed', cause: failure }
  return status >= 500 ? { type: 'failed', cause: `status-${status}` } : { type: 'answered', tokens, first, whole }
}
