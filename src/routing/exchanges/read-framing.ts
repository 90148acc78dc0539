import type { AnswerFraming } from './answer-framing.js'

/** Statuses of answers that never have a body. */
const WITHOUT_BODY = [204, 304]

/**
 * Returns how the end of an answer's body is marked.
 *
 * Source: RFC 9112, section 6.3, "Message Body Length".
 */
export function readFraming (status: number, headers: Readonly<Record<string, string | string[] | undefined>>): AnswerFraming {
  const { 'transfer-encoding': encoding, 'content-length': length } = headers
  if (encoding !== undefined) return /\bchunked\s*$/i.test(String(encoding)) ? 'chunks' : 'connection'
  return length !== undefined || WITHOUT_BODY.includes(status) ? 'length' : 'connection'
}
