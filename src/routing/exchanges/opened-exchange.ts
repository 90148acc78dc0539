import type { Result } from 'ts-results'
import type { OpenExchange } from './open-exchange.js'
import type { SendFailure } from './send-failure.js'

/** An exchange whose answer has begun, or why none did. */
export type OpenedExchange = Result<OpenExchange, SendFailure>
