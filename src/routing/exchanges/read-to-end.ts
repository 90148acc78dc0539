import type { Result } from 'ts-results'
import { checkBody } from './check-body.js'
import type { Exchange } from './exchange.js'
import type { SendFailure } from './send-failure.js'
import type { WholeBody } from './whole-body.js'

/** Reads the rest of an answer's body; fails if it is cut. `getTimeout` returns the longest wait for each read, ms. */
export async function readToEnd (exchange: Pick<Exchange, 'read' | 'framing' | 'headers'>, getTimeout: () => number): Promise<Result<WholeBody, SendFailure>> {
  const parts: Buffer[] = []
  for (;;) {
    const bytes = await exchange.read(getTimeout())
    if (bytes.err) return bytes
    if (bytes.val === undefined) return checkBody(exchange, Buffer.concat(parts))
    parts.push(bytes.val)
  }
}
