import { createHash } from 'node:crypto'
import { Err, Ok, type Result } from 'ts-results'
import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../kernel/clock.js'
import { tokens } from '../kernel/tokens.js'
import type { ObjectStore } from '../platform/object-store.js'
import type { StoreError } from '../platform/store-error.js'
import type { StoredObject } from '../platform/stored-object.js'
import type { BatchFile } from './batch-file.js'
import type { Chunk } from './chunk.js'
import type { Item } from './item.js'
import type { Job } from './job.js'
import { splitItems } from './split-items.js'

const MAX_TRIES = 20

/** Files, jobs and chunks in the platform's objects. Every change is a conditional update. */
@scoped(Lifecycle.ContainerScoped)
export class JobStore {
  constructor (
    @inject(tokens.store) private readonly store: ObjectStore,
    @inject(tokens.clock) private readonly clock: Clock
  ) {}

  /** Keeps a file under an id that follows from its caller and content, so that the same upload is the same file. */
  async createFile (caller: string, name: string, content: string, items: readonly Item[]): Promise<Result<BatchFile, StoreError>> {
    const id = `file-${hash(caller, content)}`
    const chunks = splitItems(items)
    for (const [n, chunk] of chunks.entries()) {
      const written = await this.create('items', `${id}.${n}`, chunk)
      if (written.err) return written
    }
    const file = { id, caller, name, bytes: Buffer.byteLength(content), items: items.length, chunks: chunks.length, created: this.clock.date() }
    return await this.create('file', id, file)
  }

  async readFile (id: string): Promise<Result<BatchFile, StoreError>> {
    return (await this.store.get<BatchFile>('file', id, 'caller')).map(({ value }) => value)
  }

  async readItems (file: string, chunk: number): Promise<Result<readonly Item[], StoreError>> {
    return (await this.store.get<readonly Item[]>('items', `${file}.${chunk}`)).map(({ value }) => value)
  }

  /** Creates a job under an id that follows from caller and key, so that a job sent again is the same job. */
  async createJob (file: BatchFile, options: { readonly key: string, readonly endpoint: string, readonly window: number, readonly metadata?: Readonly<Record<string, string>> }): Promise<Result<Job, StoreError>> {
    const created = this.clock.date()
    return await this.create<Job>('job', `batch-${hash(file.caller, options.key)}`, {
      id: `batch-${hash(file.caller, options.key)}`,
      caller: file.caller,
      file: file.id,
      endpoint: options.endpoint,
      created,
      due: created + options.window,
      chunks: file.chunks,
      items: file.items,
      status: 'in_progress',
      finished: {},
      metadata: options.metadata
    })
  }

  async readJob (id: string): Promise<Result<StoredObject<Job>, StoreError>> {
    return await this.store.get<Job>('job', id, 'caller')
  }

  async listJobs (): Promise<Result<readonly Job[], StoreError>> {
    return (await this.store.list<Job>('job')).map(jobs => jobs.map(({ value }) => value))
  }

  /** Applies `change` to a job until its conditional update wins; `change` gives undefined to leave it alone. */
  async updateJob (id: string, change: (job: Job) => Job | undefined): Promise<Result<Job, StoreError>> {
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      const read = await this.readJob(id)
      if (read.err) return read
      const next = change(read.val.value)
      if (next === undefined) return Ok(read.val.value)
      const written = await this.store.put('job', id, next, read.val.version)
      if (written.ok) return Ok(next)
      if (written.val.type !== 'conflict') return written
    }
    return Err({ type: 'unavailable', reason: 'others kept changing the job' })
  }

  async readChunk (job: string, n: number): Promise<Result<StoredObject<Chunk>, StoreError>> {
    return await this.store.get<Chunk>('chunk', `${job}.${n}`)
  }

  async writeChunk (job: string, n: number, chunk: Chunk, version: number): Promise<Result<StoredObject<Chunk>, StoreError>> {
    return await this.store.put('chunk', `${job}.${n}`, chunk, version)
  }

  /** Creates an object, or gives back the one that is there already. */
  private async create<T> (kind: string, name: string, value: T): Promise<Result<T, StoreError>> {
    const written = await this.store.put(kind, name, value, 0, 'caller')
    if (written.ok) return Ok(value)
    if (written.val.type !== 'conflict') return written
    return (await this.store.get<T>(kind, name, 'caller')).map(object => object.value)
  }
}

function hash (...parts: readonly string[]): string {
  return createHash('sha256').update(JSON.stringify(parts)).digest('hex').slice(0, 32)
}
