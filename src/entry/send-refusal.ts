import type { ServerResponse } from 'node:http'
import type { Refusal } from '../admission/refusal.js'
import { failUnreachable } from '../kernel/unreachable.js'
import { sendProblem } from './send-problem.js'

/**
 * Answers a refused request with whether it may have run and when to retry. The header holds whole seconds; `retryAfter` in the document holds
 * ms, so that callers that use it don't all retry on the same second.
 */
export function sendRefusal (res: ServerResponse, refusal: Refusal): void {
  sendProblem(res, {
    status: readStatus(refusal.cause),
    code: refusal.cause.replaceAll(' ', '-'),
    detail: refusal.detail,
    retryAfter: refusal.cause === 'invalid request' ? undefined : refusal.retryAfter,
    more: { ran: refusal.ran, retryAfter: Math.round(refusal.retryAfter) }
  })
}

function readStatus (cause: Refusal['cause']): number {
  switch (cause) {
    case 'invalid request': return 400
    case 'overloaded':
    case 'over quota': return 429
    case 'quarantined': return 422
    case 'server failed': return 502
    case 'deadline': return 504
    case 'no server':
    case 'draining':
    case 'platform': return 503
    default: return failUnreachable(cause)
  }
}
