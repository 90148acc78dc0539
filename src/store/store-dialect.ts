import type { ApiAnswer } from './api-answer.js'
import type { ApiCall } from './api-call.js'
import type { HttpCall } from './http-call.js'

/** Wire format of the object API; one call may take several HTTP exchanges. */
export interface StoreDialect {
  send (call: ApiCall, exchange: (call: HttpCall) => Promise<ApiAnswer>): Promise<ApiAnswer>
}
