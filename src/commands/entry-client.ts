import { Err, Ok, type Result } from 'ts-results'
import { request } from 'undici'
import { sharedAgent } from '../http/shared-agent.js'
import type { EntryError } from './entry-error.js'

/** Time limit of a request, in ms. */
const TIMEOUT = 30_000

type Method = 'GET' | 'PUT' | 'POST' | 'DELETE'

/** HTTP client for one daemon: sends and receives JSON, and returns problem documents as typed errors. */
export class EntryClient {
  constructor (readonly url: string, private readonly token: string) {}

  async call<T> (method: Method, path: string, body?: unknown, headers: Readonly<Record<string, string>> = {}): Promise<Result<T, EntryError>> {
    try {
      const response = await request(new URL(path, this.url), {
        method,
        dispatcher: sharedAgent,
        headers: { authorization: `Bearer ${this.token}`, 'content-type': 'application/json', ...headers },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(TIMEOUT)
      })
      const text = await response.body.text()
      if (response.statusCode < 300) return Ok(JSON.parse(text) as T)
      return Err(readProblem(response.statusCode, response.headers['retry-after'], text))
    } catch (error) {
      return Err({ type: 'unreachable', detail: `${this.url}: ${(error as Error).message}` })
    }
  }
}

function readProblem (status: number, retryAfter: string | string[] | undefined, text: string): EntryError {
  const wait = retryAfter === undefined ? {} : { retryAfter: Number(retryAfter) }
  try {
    return { type: 'refused', status, detail: String(JSON.parse(text).detail), ...wait }
  } catch {
    return { type: 'refused', status, detail: text.slice(0, 200), ...wait }
  }
}
