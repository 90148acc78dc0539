import type { BackendServer } from '../servers/backend-server.js'
import type { ExchangeOutcome } from './exchange-outcome.js'
import type { Exchange } from './exchange.js'
import type { SendFailure } from './send-failure.js'

/** An exchange whose answer has begun. Only the first call of `end` or `fail` has an effect. */
export interface OpenExchange {
  readonly server: BackendServer
  readonly exchange: Exchange
  /** Monotonic ms at which the request was sent. */
  readonly sentAt: number
  /** Ends the exchange as answered or as an error, or abandons it and closes its connection. */
  end (outcome: Exclude<ExchangeOutcome, 'failed'>): void
  /** Ends the exchange as failed; resolves once it is known whether the server's process exited. */
  fail (failure: SendFailure): Promise<void>
}
