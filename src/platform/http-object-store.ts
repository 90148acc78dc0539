import { randomUUID } from 'node:crypto'
import { Err, Ok, type Result } from 'ts-results'
import { Agent, request } from 'undici'
import type { Instance } from './instance.js'
import type { ObjectStore } from './object-store.js'
import type { StoreError } from './store-error.js'
import type { StoredObject } from './stored-object.js'
import type { WatchBatch } from './watch-batch.js'

const CALL_TIMEOUT = 2_000
const WATCH_SLACK = 1_000
const DEFAULT_RETRY_AFTER = 1_000

interface Answer { readonly status: number, readonly headers: Record<string, unknown>, readonly body: any }

/**
 * The platform's object API over HTTP. Each write carries an id of its own; when the reply to a write is lost,
 * the object is read back and the id stored with it settles whether the write took effect.
 */
export class HttpObjectStore implements ObjectStore {
  private readonly agent = new Agent({ connections: 16, keepAliveTimeout: 4_000 })

  constructor (private readonly base: string) {}

  async get<T> (kind: string, name: string): Promise<Result<StoredObject<T>, StoreError>> {
    return await this.call('GET', `/objects/${kind}/${encodeURIComponent(name)}`)
  }

  async put<T> (kind: string, name: string, value: T, version: number): Promise<Result<StoredObject<T>, StoreError>> {
    const writeId = randomUUID()
    const path = `/objects/${kind}/${encodeURIComponent(name)}`
    const written = await this.call<StoredObject<T>>('PUT', path, { value, version, writeId })
    if (written.ok || written.val.type !== 'unavailable') return written
    return await this.settleWrite(path, writeId, written.val.reason)
  }

  async delete (kind: string, name: string, version: number): Promise<Result<void, StoreError>> {
    const path = `/objects/${kind}/${encodeURIComponent(name)}?version=${version}`
    return (await this.call<unknown>('DELETE', path)).map(() => undefined)
  }

  async list<T> (kind: string, { prefix = '', after = '', limit = 500 } = {}): Promise<Result<readonly StoredObject<T>[], StoreError>> {
    const query = new URLSearchParams({ prefix, after, limit: String(limit) })
    return (await this.call<{ objects: StoredObject<T>[] }>('GET', `/objects/${kind}?${query}`)).map(({ objects }) => objects)
  }

  async watch<T> (kind: string, revision: number, wait: number): Promise<Result<WatchBatch<T>, StoreError>> {
    return await this.call('GET', `/watch/${kind}?revision=${revision}&wait=${wait}`, undefined, wait + WATCH_SLACK)
  }

  async listInstances (): Promise<Result<readonly Instance[], StoreError>> {
    return (await this.call<{ instances: Instance[] }>('GET', '/instances')).map(({ instances }) => instances)
  }

  async close (): Promise<void> {
    await this.agent.destroy()
  }

  /**
   * A write whose reply is lost may have taken effect: repeating it blindly would look like a conflict with
   * ourselves. The stored write id tells, and nobody else can have written the same one.
   */
  private async settleWrite<T> (path: string, writeId: string, reason: string): Promise<Result<StoredObject<T>, StoreError>> {
    const read = await this.call<StoredObject<T> & { writeId?: string }>('GET', path)
    if (read.ok) return read.val.writeId === writeId ? read : Err({ type: 'conflict', version: read.val.version })
    return read.val.type === 'missing' ? Err({ type: 'unavailable', reason }) : Err({ type: 'unknown', reason })
  }

  private async call<T> (method: 'GET' | 'PUT' | 'DELETE', path: string, body?: unknown, timeout = CALL_TIMEOUT): Promise<Result<T, StoreError>> {
    try {
      return readAnswer<T>(await this.exchange(method, path, body, timeout))
    } catch (error) {
      return Err({ type: 'unavailable', reason: String((error as Error).message) })
    }
  }

  private async exchange (method: 'GET' | 'PUT' | 'DELETE', path: string, body: unknown, timeout: number): Promise<Answer> {
    const response = await request(this.base + path, {
      method,
      dispatcher: this.agent,
      signal: AbortSignal.timeout(timeout),
      headers: { 'content-type': 'application/json' },
      body: body === undefined ? null : JSON.stringify(body)
    })
    const text = await response.body.text()
    return { status: response.statusCode, headers: response.headers, body: text === '' ? undefined : JSON.parse(text) }
  }
}

function readAnswer<T> ({ status, headers, body }: Answer): Result<T, StoreError> {
  if (status < 300) return Ok(body as T)
  switch (status) {
    case 404: return Err({ type: 'missing' })
    case 409: return Err({ type: 'conflict', version: body.version })
    case 429: return Err({ type: 'limited', retryAfter: Number(headers['retry-after'] ?? 0) * 1_000 || DEFAULT_RETRY_AFTER })
    case 400:
    case 413: return Err({ type: 'invalid', reason: String(body?.error) })
    default: return Err({ type: 'unavailable', reason: `status ${status}` })
  }
}
