import type { ServerResponse } from 'node:http'

const MS_PER_SECOND = 1_000

/** The contents of a problem document. `retryAfter`, in ms, becomes the Retry-After header, rounded up to seconds. */
interface Problem {
  readonly status: number
  readonly code: string
  readonly detail: string
  readonly retryAfter?: number
  /** Additional members of the document. */
  readonly more?: Readonly<Record<string, unknown>>
}

/** Answers with a problem document (RFC 9457). It includes the `error` member that OpenAI clients display. */
export function sendProblem (res: ServerResponse, { status, code, detail, retryAfter, more = {} }: Problem): void {
  if (res.headersSent) {
    res.destroy()
    return
  }
  const text = JSON.stringify({ type: `urn:citronwheel:${code}`, title: code, status, detail, ...more, error: { message: detail, type: code, code } })
  const retry = retryAfter === undefined ? {} : { 'retry-after': String(Math.max(1, Math.ceil(retryAfter / MS_PER_SECOND))) }
  res.writeHead(status, { 'content-type': 'application/problem+json', 'content-length': Buffer.byteLength(text), ...retry })
  res.end(text)
}
