import type { BackendServer } from './backend-server.js'
import type { Exchange } from './exchange.js'
import type { SendFailure } from './send-failure.js'

/** An exchange whose answer has begun, and what must be told of its end. */
export interface OpenExchange {
  readonly server: BackendServer
  readonly exchange: Exchange
  /** Monotonic ms at which the request was sent. */
  readonly sentAt: number
  /** Ends it whole, or abandons it with its connection. Only the first call counts. */
  end (outcome: 'answered' | 'abandoned'): void
  /** Ends it as failed; resolves once it is known whether the server itself was lost. */
  fail (failure: SendFailure): Promise<void>
}
