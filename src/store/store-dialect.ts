import type { ApiAnswer } from './api-answer.js'
import type { ApiCall } from './api-call.js'
import type { HttpCall } from './http-call.js'

/** How the calls of the object API look on the wire; one call may take several exchanges. */
export interface StoreDialect {
  send (call: ApiCall, exchange: (call: HttpCall) => Promise<ApiAnswer>): Promise<ApiAnswer>
}
