import { request, type Dispatcher } from 'undici'

const HOST = 'desk.example'
const OK = 200

interface StreamOptions {
  readonly id: string
  readonly path: string
  readonly dispatcher: Dispatcher
  /** Time from the request to its deadline, ms. */
  readonly deadline: number
  readonly key: string
  /** Parts of its prompt that other requests share, as the header has them. */
  readonly prefix?: string | undefined
  /** The stream that it resumes, and the last event received. */
  readonly resumption?: { readonly resumes: string, readonly after: number }
}

interface Stream { readonly status: number, readonly stamp: string | undefined, readonly body: AsyncIterable<Uint8Array> }

/** `prefix`: parts of its prompt that other requests share, as the header has them. */
interface JobItemOptions { readonly id: string, readonly path: string, readonly tokens: number, readonly prefix?: string }

interface Results {
  readonly status: number
  readonly total: number
  readonly results: ReadonlyArray<{ readonly id: string, readonly state: 'completed' | 'failed', readonly text: string }>
}

interface WireResults { readonly total?: number, readonly results?: ReadonlyArray<{ readonly id: string, readonly state: string, readonly text: string }> }

/** A client of one entry address that speaks the users' protocol. Statuses are 0 where no answer came. */
export class RoutedEntryClient {
  constructor (private readonly address: string, private readonly timeout: number, private readonly key = '') {}

  /** Sends a streaming request; undefined if no answer began. */
  async openStream ({ id, path, dispatcher, deadline, key, prefix, resumption }: StreamOptions): Promise<Stream | undefined> {
    const answer = await request(`http://${this.address}${path}`, {
      method: 'POST', dispatcher, headers: { host: HOST, 'x-request-id': id, 'x-deadline-ms': String(deadline), 'x-api-key': key, ...prefix !== undefined && { 'x-prompt-prefix': prefix }, ...resumption !== undefined && { resumes: resumption.resumes, 'last-event-id': String(resumption.after) } }, signal: AbortSignal.timeout(deadline)
    }).catch(() => undefined)
    return answer === undefined ? undefined : { status: answer.statusCode, stamp: answer.headers['x-response-stamp'] as string | undefined, body: answer.body }
  }

  async submitJob (id: string, items: readonly JobItemOptions[]): Promise<number> {
    const body = JSON.stringify({ items: items.map(({ prefix, ...item }) => ({ ...item, headers: { 'X-Model': 'm', ...prefix !== undefined && { 'X-Prompt-Prefix': prefix } }, body: 'eA==' })) })
    return (await this.call('POST', '/drafts/', id, body)).status
  }

  /** Reads the results from the first position on. */
  async readResults (job: string): Promise<Results> {
    const { status, body } = await this.call('GET', `/api/lots/${job}?after=0`, `read-${job}`)
    const { total = 0, results = [] } = status === OK ? body as WireResults : {}
    return { status, total, results: results.map(({ id, state, text }) => ({ id, state: state === 'errored' ? 'failed' : 'completed', text })) }
  }

  async endJob (job: string): Promise<number> {
    return (await this.call('DELETE', `/api/lots/${job}`, `end-${job}`)).status
  }

  private async call (method: 'POST' | 'GET' | 'DELETE', path: string, id: string, body?: string): Promise<{ readonly status: number, readonly body: unknown }> {
    try {
      const answer = await request(`http://${this.address}${path}`, { method, reset: true, headers: { host: HOST, 'x-request-id': id, 'x-api-key': this.key }, body: body ?? null, signal: AbortSignal.timeout(this.timeout) })
      const text = await answer.body.text()
      return { status: answer.statusCode, body: text === '' ? undefined : JSON.parse(text) }
    } catch {
      // The daemon is gone or unreachable: the caller tries another one.
      return { status: 0, body: undefined }
    }
  }
}
