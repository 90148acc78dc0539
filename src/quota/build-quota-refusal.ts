import type { Refusal } from '../admission/refusal.js'
import type { QuotaDecision } from './quota-decision.js'

/** Retry delay of a request that no holder of its quota could decide on, ms. */
const UNKNOWN_RETRY = 400

/** Builds the refusal of a request that the quota of `caller` doesn't allow. */
export function buildQuotaRefusal (decision: Exclude<QuotaDecision, { type: 'granted' }>, caller = 'its caller'): Refusal {
  if (decision.type === 'unknown') return { cause: 'platform', ran: 'not run', retryAfter: UNKNOWN_RETRY, detail: `no daemon that holds the quota of ${caller} answers` }
  return { cause: 'over quota', ran: 'not run', retryAfter: decision.retryAfter, detail: `the quota of ${caller} is used up` }
}
