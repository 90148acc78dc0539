import type { ExchangeOutcome } from './exchange-outcome.js'
import type { ServerRequest } from './server-request.js'

/** Is notified when a request to a backend server begins and ends. */
export interface ExchangeObserver {
  onBegin (request: ServerRequest, server: string): void
  onEnd (request: ServerRequest, server: string, outcome: ExchangeOutcome): void
}
