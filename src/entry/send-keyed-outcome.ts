import type { ServerResponse } from 'node:http'
import { pipeline } from 'node:stream/promises'
import { failUnreachable } from '../kernel/unreachable.js'
import type { KeyedOutcome } from './keyed-outcome.js'
import { sendProblem } from './send-problem.js'
import { sendRefusal } from './send-refusal.js'

const IN_PROGRESS_RETRY = 2_000 // ms

/** Sends the outcome of a keyed request. A replayed answer carries `idempotency-replayed: true`. */
export async function sendKeyedOutcome (res: ServerResponse, outcome: KeyedOutcome): Promise<void> {
  switch (outcome.type) {
    case 'answered': return await sendAnswer(res, outcome)
    case 'not kept': return sendProblem(res, { status: 410, code: 'answer-not-kept', detail: `it ran once and was answered with status ${outcome.status}; the answer was too long to be kept`, more: { ran: 'ran' } })
    case 'mismatch': return sendProblem(res, { status: 422, code: 'key-reused', detail: 'idempotency-key: it was used before with another request' })
    case 'in progress': return sendProblem(res, { status: 409, code: 'in-progress', detail: 'idempotency-key: its request is still running', retryAfter: IN_PROGRESS_RETRY, more: { ran: 'unknown' } })
    case 'unknown': return sendProblem(res, { status: 502, code: 'outcome-unknown', detail: `it may have run once and won't be run again under this key: ${outcome.cause}`, more: { ran: 'unknown' } })
    case 'refused': return sendRefusal(res, outcome.refusal)
    default: return failUnreachable(outcome)
  }
}

async function sendAnswer (res: ServerResponse, { status, contentType, body, replayed }: Extract<KeyedOutcome, { type: 'answered' }>): Promise<void> {
  if (contentType !== undefined) res.setHeader('content-type', contentType)
  if (replayed) res.setHeader('idempotency-replayed', 'true')
  if (Buffer.isBuffer(body)) res.writeHead(status, { 'content-length': body.length })
  else res.writeHead(status)
  if (Buffer.isBuffer(body)) res.end(body)
  else await pipeline(body, res).catch(() => res.destroy())
}
