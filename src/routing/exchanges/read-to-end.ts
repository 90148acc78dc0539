import { Err, type Result } from 'ts-results'
import { checkBody } from './check-body.js'
import type { Exchange } from './exchange.js'
import type { SendFailure } from './send-failure.js'

/** Longest body that is read, bytes; a faulty server may send one without end. */
const MAX_BODY_BYTES = 16_000_000

interface ReadOptions {
  /** Returns the longest wait for each read, ms. */
  readonly getTimeout: () => number
  /** Longest body, bytes. */
  readonly maxBytes?: number
  /** Takes memory for bytes that have arrived; returns false where there is none. */
  readonly grow?: (bytes: number) => boolean
}

/**
 * Reads the rest of an answer's body; fails if it is cut or too long, or there is no memory for it.
 *
 * @example
 * const body = await readToEnd(open.exchange, { getTimeout: () => 1_000, grow: bytes => hold.grow(bytes) })
 */
export async function readToEnd (exchange: Pick<Exchange, 'read' | 'framing' | 'headers'>, { getTimeout, maxBytes = MAX_BODY_BYTES, grow = () => true }: ReadOptions): Promise<Result<Buffer, SendFailure>> {
  const parts: Buffer[] = []
  let size = 0
  for (;;) {
    const bytes = await exchange.read(getTimeout())
    if (bytes.err) return bytes
    if (bytes.val === undefined) return checkBody(exchange, Buffer.concat(parts))
    size += bytes.val.length
    if (size > maxBytes) return Err({ why: 'cut', sent: true, detail: `its body is longer than ${maxBytes} bytes` })
    if (!grow(bytes.val.length)) return Err({ why: 'cut', sent: true, detail: 'there is no memory for its body' })
    parts.push(bytes.val)
  }
}
