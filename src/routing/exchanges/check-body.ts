import { Err, Ok, type Result } from 'ts-results'
import type { Exchange } from './exchange.js'
import type { SendFailure } from './send-failure.js'
import type { WholeBody } from './whole-body.js'

/**
 * Checks the body of an answer whose connection ended regularly, or fails if it is cut. Where only the end of the connection marks
 * that of the body, a cut isn't visible; JSON is then checked by parsing it.
 */
export function checkBody ({ framing, headers }: Pick<Exchange, 'framing' | 'headers'>, body: Buffer): Result<WholeBody, SendFailure> {
  const { 'content-type': type, 'content-length': length } = headers
  switch (framing) {
    case 'length': return length !== undefined && body.length !== Number(length) ? Err({ why: 'cut', sent: true, detail: 'the body is shorter than its server said' }) : Ok({ body, isEndMarked: true })
    case 'chunks':
    case 'none': return Ok({ body, isEndMarked: true })
    case 'connection': {
      if (!String(type).includes('json')) return Ok({ body, isEndMarked: false })
      return isJson(body) ? Ok({ body, isEndMarked: true }) : Err({ why: 'cut', sent: true, detail: 'its JSON is cut' })
    }
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
