import { failUnreachable } from '../kernel/unreachable.js'
import type { RetryState } from './retry-state.js'
import type { SendFailure } from './send-failure.js'

const MAX_ATTEMPTS = 4

type Plan =
  | { readonly type: 'send' }
  | { readonly type: 'give up', readonly cause: 'deadline' | 'server failed', readonly detail: string }

/**
 * Decides what follows a failed send. It is repeated only if the request provably never ran or is idempotent, while
 * there is time, and if `takeRetry`, asked last, grants it from the budget.
 */
export function planRetry ({ idempotent, attempts, sent, deadline }: RetryState, failure: SendFailure, { now, takeRetry }: { readonly now: number, readonly takeRetry: () => boolean }): Plan {
  if (now >= deadline) return giveUp('deadline', 'its deadline passed')
  switch (failure.why) {
    case 'abandoned': return giveUp('server failed', 'the caller went away')
    case 'withheld': return giveUp('server failed', 'it may not begin any more')
    case 'unreachable':
    case 'cut':
    case 'silent': break
    default: return failUnreachable(failure.why)
  }
  if (sent && !idempotent) return giveUp('server failed', `the server failed (${failure.why}) and the request may not be repeated`)
  if (attempts >= MAX_ATTEMPTS) return giveUp('server failed', `${attempts} servers failed in turn`)
  return takeRetry() ? { type: 'send' } : giveUp('server failed', `the server failed (${failure.why}) and too many requests are being repeated`)
}

function giveUp (cause: 'deadline' | 'server failed', detail: string): Plan {
  return { type: 'give up', cause, detail }
}
