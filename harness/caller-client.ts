import { request } from 'undici'

/** The answer to one request. */
interface Answer { readonly status: number, readonly headers: Readonly<Record<string, string | string[] | undefined>>, readonly text: string }

/** A client that uses one entry address with one caller's token. */
export class CallerClient {
  constructor (readonly url: string, private readonly token: string) {}

  async call (method: 'GET' | 'POST', path: string, body?: unknown, headers: Readonly<Record<string, string>> = {}): Promise<Answer> {
    const response = await request(this.url + path, {
      method,
      headers: { authorization: `Bearer ${this.token}`, 'content-type': 'application/json', ...headers },
      body: body === undefined ? null : JSON.stringify(body)
    })
    return { status: response.statusCode, headers: response.headers, text: await response.body.text() }
  }

  async chat (model: string, prompt: string, { stream = false, tokens = 8 } = {}): Promise<Answer> {
    return await this.call('POST', '/v1/chat/completions', { model, stream, max_tokens: tokens, messages: [{ role: 'user', content: prompt }] })
  }

  /** Uploads lines as a batch file; returns the file's id. */
  async upload (lines: readonly unknown[]): Promise<string> {
    const form = new FormData()
    form.set('purpose', 'batch')
    form.set('file', new Blob([lines.map(line => JSON.stringify(line)).join('\n')]), 'items.jsonl')
    const response = await fetch(`${this.url}/v1/files`, { method: 'POST', headers: { authorization: `Bearer ${this.token}` }, body: form })
    const file = await response.json() as { id: string }
    if (response.status !== 200) throw new Error(`uploading a batch file failed: ${response.status} ${JSON.stringify(file)}`)
    return file.id
  }

  async submit (file: string, key?: string): Promise<any> {
    const answer = await this.call('POST', '/v1/batches', { input_file_id: file, endpoint: '/v1/chat/completions', completion_window: '24h' }, key === undefined ? {} : { 'idempotency-key': key })
    if (answer.status !== 200) throw new Error(`submitting a job failed: ${answer.status} ${answer.text}`)
    return JSON.parse(answer.text)
  }

  async readJob (id: string): Promise<any> {
    return JSON.parse((await this.call('GET', `/v1/batches/${id}`)).text)
  }

  /** Returns the lines of a job's results or failures. */
  async readResults (job: string, which: 'output' | 'errors'): Promise<readonly any[]> {
    const { status, text } = await this.call('GET', `/v1/files/${job}.${which}/content`)
    if (status !== 200) throw new Error(`reading the results of a job failed: ${status} ${text}`)
    return text.split('\n').filter(line => line !== '').map(line => JSON.parse(line))
  }
}
