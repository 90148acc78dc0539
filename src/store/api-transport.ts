import type { ApiAnswer } from './api-answer.js'
import type { ApiCall } from './api-call.js'

/** Sends single calls to the platform. It never retries and never throws. */
export interface ApiTransport {
  /** `signal` ends the call without an answer. */
  send (call: ApiCall, timeout: number, signal?: AbortSignal): Promise<ApiAnswer>
  close (): Promise<void>
}
