import { failUnreachable } from '../kernel/unreachable.js'
import type { RetryState } from './retry-state.js'
import type { SendFailure } from './exchanges/send-failure.js'

/** Sends after which a request is abandoned. */
const MAX_ATTEMPTS = 4

type Plan =
  | { readonly type: 'send' }
  | { readonly type: 'give up', readonly cause: 'deadline' | 'server failed' | 'invalid request', readonly detail: string }

/**
 * Decides whether a request is sent again after a failure: only before its deadline, if it certainly hasn't run or is
 * idempotent, and if `takeRetry`, called last, takes a retry from the budget.
 */
export function planRetry ({ idempotent, attempts, sent, deadline }: RetryState, failure: SendFailure, { now, takeRetry }: { readonly now: number, readonly takeRetry: () => boolean }): Plan {
  if (now >= deadline) return giveUp('deadline', 'its deadline passed')
  switch (failure.why) {
    case 'abandoned': return giveUp('server failed', 'the caller went away')
    case 'withheld': return giveUp('server failed', 'it may not begin any more')
    case 'invalid': return giveUp('invalid request', failure.detail)
    case 'unreachable':
    case 'closed':
    case 'cut':
    case 'silent': break
    default: return failUnreachable(failure.why)
  }
  if (sent && !idempotent) return giveUp('server failed', `the server failed (${failure.why}) and the request may not be repeated`)
  if (attempts >= MAX_ATTEMPTS) return giveUp('server failed', `${attempts} servers failed in turn`)
  return takeRetry() ? { type: 'send' } : giveUp('server failed', `the server failed (${failure.why}) and too many requests are being repeated`)
}

function giveUp (cause: Extract<Plan, { type: 'give up' }>['cause'], detail: string): Plan {
  return { type: 'give up', cause, detail }
}
