import { Err, Ok, type Result } from 'ts-results'
import type { Exchange } from './exchange.js'
import type { SendFailure } from './send-failure.js'

/**
 * Checks the body of an answer whose connection ended regularly, or fails if it is cut. Where only the end of the connection marks
 * that of the body, a cut isn't visible; JSON is then checked by parsing it.
 */
export function checkBody ({ framing, headers }: Pick<Exchange, 'framing' | 'headers'>, body: Buffer): Result<Buffer, SendFailure> {
  const { 'content-type': type, 'content-length': length } = headers
  switch (framing) {
    case 'length': return length !== undefined && body.length !== Number(length) ? Err({ why: 'cut', sent: true, detail: 'the body is shorter than its server said' }) : Ok(body)
    case 'chunks':
    case 'none': return Ok(body)
    case 'connection': return String(type).includes('json') && !isJson(body) ? Err({ why: 'cut', sent: true, detail: 'its JSON is cut' }) : Ok(body)
  }
}

function isJson (body: Buffer): boolean {
  try {
    JSON.parse(body.toString())
    return true
  } catch {
    return false
  }
}
