import type { ApiAnswer } from './api-answer.js'
import type { StoreError } from './store-error.js'

const MISSING = 404
const CONFLICT = 409

/** Returns the error for an answer that isn't a success. */
export function readStoreError (answer: ApiAnswer): StoreError {
  if (answer.type === 'limited') return { type: 'limited', retryAfter: answer.retryAfter }
  if (answer.type !== 'answered') return { type: 'unavailable', reason: answer.reason }
  switch (answer.status) {
    case MISSING: return { type: 'missing' }
    case CONFLICT: return { type: 'conflict', version: answer.body.version }
    default: return { type: 'invalid', reason: String(answer.body?.error ?? `status ${answer.status}`) }
  }
}
