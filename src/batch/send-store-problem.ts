import type { ServerResponse } from 'node:http'
import { sendProblem } from '../entry/send-problem.js'
import type { StoreError } from '../store/store-error.js'

/** ms after which the caller should try again. */
const RETRY_AFTER = 2_000

/** Answers a request that failed because of the platform. The caller may send it again unchanged. */
export function sendStoreProblem (res: ServerResponse, error: StoreError): void {
  if (error.type === 'missing') return sendProblem(res, { status: 404, code: 'no-such-object', detail: 'there is nothing by this id' })
  const retryAfter = error.type === 'limited' ? error.retryAfter : RETRY_AFTER
  const ran = error.type === 'unknown' ? 'unknown' : 'not run'
  sendProblem(res, { status: 503, code: 'platform', detail: 'the platform did not answer; what was asked for is not accepted', retryAfter, more: { ran } })
}
