import { Ok, type Result } from 'ts-results'
import { inject, Lifecycle, scoped } from 'tsyringe'
import { ConfigurationHolder } from '../../config/configuration-holder.js'
import type { Clock } from '../../kernel/clock.js'
import { tokens } from '../../kernel/tokens.js'
import type { ObjectStore } from '../../store/object-store.js'
import type { StoreError } from '../../store/store-error.js'
import type { BatchFile } from './batch-file.js'
import { CallerIndex } from '../caller-index.js'
import { createObject } from '../create-object.js'
import { ExpiryIndex } from './expiry-index.js'
import { hashId } from '../hash-id.js'
import type { Item } from '../item.js'
import { listChunks } from '../chunks/list-chunks.js'
import type { ServiceChunks } from '../chunks/service-chunks.js'
import { splitItems } from '../split-items.js'

/** A validated batch file, with its items grouped by service. */
interface Upload {
  readonly caller: string
  readonly name: string
  readonly bytes: number
  readonly items: ReadonlyMap<string, readonly Item[]>
}

/** Stores batch files and their items as objects of the platform. */
@scoped(Lifecycle.ContainerScoped)
export class FileStore {
  constructor (
    @inject(tokens.store) private readonly store: ObjectStore,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(CallerIndex) private readonly index: CallerIndex,
    @inject(ExpiryIndex) private readonly expiries: ExpiryIndex,
    @inject(ConfigurationHolder) private readonly configuration: ConfigurationHolder
  ) {}

  /**
   * Stores a file under an id derived from its caller and content, so that a repeated upload gives the same file. The
   * `file` object is written last: a file that can be read is complete, listed and scheduled for removal.
   */
  async create ({ caller, name, bytes, items }: Upload): Promise<Result<BatchFile, StoreError>> {
    const id = `file-${hashId(caller, [...items])}`
    const existing = await this.read(id)
    if (existing.ok) return existing
    const services: ServiceChunks[] = []
    for (const [service, all] of items) {
      const chunks = splitItems(all)
      for (const [offset, chunk] of chunks.entries()) {
        const written = await createObject(this.store, 'items', `${id}.${listChunks(services).length + offset}`, chunk)
        if (written.err) return written
      }
      services.push({ service, sizes: chunks.map(({ length }) => length) })
    }
    return await this.save({ id, caller, name, bytes, items: [...items.values()].reduce((sum, { length }) => sum + length, 0), services, created: this.clock.date() })
  }

  async read (id: string): Promise<Result<BatchFile, StoreError>> {
    return (await this.store.get<BatchFile>('file', id, 'caller')).map(({ value }) => value)
  }

  async readItems (file: string, chunk: number): Promise<Result<readonly Item[], StoreError>> {
    return (await this.store.get<readonly Item[]>('items', `${file}.${chunk}`)).map(({ value }) => value)
  }

  /** Returns a page of the caller's files, newest first, and whether there are more. */
  async list (caller: string, { after, limit }: { readonly after?: BatchFile, readonly limit: number }): Promise<Result<{ readonly files: readonly BatchFile[], readonly more: boolean }, StoreError>> {
    const ids = await this.index.list('file', caller, { after, limit })
    if (ids.err) return ids
    const files: BatchFile[] = []
    for (const id of ids.val.slice(0, limit)) {
      const file = await this.read(id)
      if (file.ok) files.push(file.val)
      else if (file.val.type !== 'missing') return file
    }
    return Ok({ files, more: ids.val.length > limit })
  }

  /** Deletes a file. Its items remain as long as jobs may read them; the clean-up removes them. */
  async delete (file: BatchFile): Promise<Result<void, StoreError>> {
    const read = await this.store.get('file', file.id, 'caller')
    if (read.err) return read.val.type === 'missing' ? Ok(undefined) : read
    const deleted = await this.store.delete('file', file.id, read.val.version, 'caller')
    if (deleted.err) return deleted
    return await this.index.remove('file', file)
  }

  private async save (file: BatchFile): Promise<Result<BatchFile, StoreError>> {
    const due = await this.expiries.add({ type: 'file', id: file.id }, file.created + this.configuration.value.limits.resultKeep)
    if (due.err) return due
    const listed = await this.index.add('file', file)
    return listed.ok ? await createObject(this.store, 'file', file.id, file) : listed
  }
}
