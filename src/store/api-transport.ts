import type { ApiAnswer } from './api-answer.js'
import type { ApiCall } from './api-call.js'

/** Sends single calls to the platform. It never retries and never throws. */
export interface ApiTransport {
  send (call: ApiCall, timeout: number): Promise<ApiAnswer>
  close (): Promise<void>
}
