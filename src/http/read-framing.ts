import type { AnswerFraming } from './answer-framing.js'

/** Statuses of answers that never have a body. */
const WITHOUT_BODY = [204, 304]

interface FramedAnswer {
  /** Method of the request. */
  readonly method: string
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
}

/**
 * Returns how the end of an answer's body is marked.
 *
 * Source: RFC 9112, section 6.3, "Message Body Length".
 */
export function readFraming ({ method, status, headers }: FramedAnswer): AnswerFraming {
  const { 'transfer-encoding': encoding, 'content-length': length } = headers
  if (method === 'HEAD' || WITHOUT_BODY.includes(status)) return 'none'
  if (encoding !== undefined) return /\bchunked\s*$/i.test(String(encoding)) ? 'chunks' : 'connection'
  return length !== undefined ? 'length' : 'connection'
}
