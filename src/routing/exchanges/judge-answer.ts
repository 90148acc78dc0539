import type { AnswerClaim } from './answer-claim.js'
import type { ServerDialect } from './server-dialect.js'

/** Statuses that promise callers that their request has not run and won't run: timeout, misdirected, too many requests, unavailable. */
const PROMISES = [408, 421, 429, 503]

interface JudgedAnswer {
  /** Id of the request that was sent. */
  readonly request: string
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly dialect: Pick<ServerDialect, 'isNotRun' | 'readRequestId'>
}

/**
 * Decides what the head of an answer says about the request. A server's word that it did not run the request counts only if it names the
 * request: a refusal that names none may be about other bytes on the connection.
 */
export function judgeAnswer ({ request, status, headers, dialect }: JudgedAnswer): AnswerClaim {
  const id = dialect.readRequestId(headers)
  if (id !== undefined && id !== request) return { type: 'foreign', id }
  const isNotRun = dialect.isNotRun(status, headers)
  if (isNotRun && id === request) return { type: 'not run' }
  if (isNotRun) return { type: 'unproved', detail: `status ${status}, not run, but it names no request` }
  return PROMISES.includes(status) ? { type: 'unproved', detail: `status ${status}, but it doesn't say that the request was not run` } : { type: 'run' }
}
