import { Err, type Result } from 'ts-results'
import { checkBody } from './check-body.js'
import type { Exchange } from './exchange.js'
import type { SendFailure } from './send-failure.js'

/** Longest body that is read, bytes; a faulty server may send one without end. */
const MAX_BODY_BYTES = 16_000_000

/** Reads the rest of an answer's body; fails if it is cut or too long. `getTimeout` returns the longest wait for each read, ms. */
export async function readToEnd (exchange: Pick<Exchange, 'read' | 'framing' | 'headers'>, getTimeout: () => number): Promise<Result<Buffer, SendFailure>> {
  const parts: Buffer[] = []
  let size = 0
  for (;;) {
    const bytes = await exchange.read(getTimeout())
    if (bytes.err) return bytes
    if (bytes.val === undefined) return checkBody(exchange, Buffer.concat(parts))
    size += bytes.val.length
    if (size > MAX_BODY_BYTES) return Err({ why: 'cut', sent: true, detail: `its body is longer than ${MAX_BODY_BYTES} bytes` })
    parts.push(bytes.val)
  }
}
