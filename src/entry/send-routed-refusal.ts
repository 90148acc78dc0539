import type { ServerResponse } from 'node:http'
import type { Refusal } from '../admission/refusal.js'
import { sendJson } from '../http/send-json.js'

const MS_PER_SECOND = 1_000
const BAD_REQUEST = 400
const TOO_MANY = 429
const UNAVAILABLE = 503
const BAD_GATEWAY = 502
const GATEWAY_TIMEOUT = 504

/**
 * Answers a refused request: 503, or 429 for a caller over its quota, guarantees that it has not run and tells when to retry; 502 and 504 guarantee
 * nothing. A daemon that ends closes the connection, so that the caller goes elsewhere. 400 goes to a request that can't be sent as it came; there is no use in a retry.
 */
export function sendRoutedRefusal (res: ServerResponse, { cause, ran, retryAfter, detail }: Refusal): void {
  if (cause === 'invalid request') return sendJson(res, BAD_REQUEST, { cause, ran, detail })
  const notRun = cause === 'over quota' ? TOO_MANY : UNAVAILABLE
  const status = ran === 'not run' ? notRun : cause === 'deadline' ? GATEWAY_TIMEOUT : BAD_GATEWAY
  if (cause === 'draining') res.removeHeader('keep-alive')
  const headers: Record<string, string> = ran === 'not run' ? { 'retry-after': (retryAfter / MS_PER_SECOND).toFixed(3) } : {}
  sendJson(res, status, { cause, ran, detail }, { ...headers, ...cause === 'draining' && { connection: 'close' } })
}
