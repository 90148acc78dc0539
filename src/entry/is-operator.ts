import { createHash, timingSafeEqual } from 'node:crypto'
import type { IncomingMessage } from 'node:http'

/** Whether the request carries the operators' token, compared in constant time. */
export function isOperator (req: IncomingMessage, token: string): boolean {
  return timingSafeEqual(hash(req.headers.authorization ?? ''), hash(`Bearer ${token}`))
}

function hash (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}
