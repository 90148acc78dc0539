import { inject, Lifecycle, scoped } from 'tsyringe'
import { Err, Ok, type Result } from 'ts-results'
import { tokens } from '../kernel/tokens.js'
import type { ObjectStore } from '../store/object-store.js'
import { listPages } from '../store/list-pages.js'
import type { StoreError } from '../store/store-error.js'
import type { WatchBatch } from '../store/watch-batch.js'
import type { ListedResult } from './listed-result.js'
import type { ItemProgress } from './item-progress.js'
import type { JobHeader } from './job-header.js'
import type { JobItem } from './job-item.js'
import { splitBySize } from './split-by-size.js'

const HEADERS = 'jobs'
const ITEMS = 'job-items'
const RESULTS = 'job-results'
const ENDS = 'job-ends'
const PROGRESS = 'job-progress'
/** Bytes of items or results in one object, which may hold a megabyte; JSON may lengthen a text by a quarter and more. */
const OBJECT_BYTES = 600_000
/** About what the rest of an item adds to its body. */
const ITEM_OVERHEAD = 600
/** How long a read of what is new waits for something, ms: the least that the store takes. */
const READ_WAIT = 1

/**
 * Jobs as the store keeps them. Every object is created once and never changed, so that no write needs to know what was
 * there: items and head at once, which are a job once all are there; results as numbered segments, each created by whoever has
 * read all before it; the end as an object of its own. Two daemons that run one job can't both create a segment. Only the
 * note of how far its items have come is replaced; whichever stands is true, since any server goes on behind any event.
 */
@scoped(Lifecycle.ContainerScoped)
export class JobRecords {
  constructor (@inject(tokens.store) private readonly store: ObjectStore) {}

  /**
   * `conflict` says that a job of this id is there already. Where its head may be stored nothing is promised: the items that this
   * attempt couldn't store may be there from an earlier one, whose caller was told that nothing runs, or come by a later one.
   */
  async create (id: string, header: Omit<JobHeader, 'parts'>, items: readonly JobItem[]): Promise<Result<void, StoreError>> {
    const parts = splitBySize(items, ({ body }) => body.length + ITEM_OVERHEAD, OBJECT_BYTES)
    const [written, ...stored] = await Promise.all([
      this.createOnce(HEADERS, id, { ...header, parts: parts.length } satisfies JobHeader),
      ...parts.map(async (part, i) => await this.createOnce(ITEMS, `${id}.${i}`, part))
    ])
    const isWhole = stored.every(result => result.ok || result.val.type === 'conflict')
    return isWhole || !mayBeStored(written) ? written : Err({ type: 'unknown', reason: 'its head may be stored, and its items are not' })
  }

  async readHeader (id: string): Promise<Result<JobHeader, StoreError>> {
    return (await this.store.get<JobHeader>(HEADERS, id, 'caller')).map(({ value }) => value)
  }

  async readItems (id: string, { parts }: JobHeader): Promise<Result<readonly JobItem[], StoreError>> {
    const read = await Promise.all(Array.from({ length: parts }, async (_, i) => await this.store.get<readonly JobItem[]>(ITEMS, `${id}.${i}`, 'caller')))
    const failed = read.find(result => result.err)
    if (failed?.err === true) return failed
    return Ok(read.flatMap(result => result.unwrap().value))
  }

  /** Whether the job's items are stored, which go first when it is removed. */
  async hasItems (id: string): Promise<Result<boolean, StoreError>> {
    const first = await this.store.get(ITEMS, `${id}.0`, 'caller')
    if (first.ok) return Ok(true)
    return first.val.type === 'missing' ? Ok(false) : first
  }

  /** The results of one segment; `missing` behind the last. */
  async readSegment (id: string, segment: number): Promise<Result<readonly ListedResult[], StoreError>> {
    return (await this.store.get<readonly ListedResult[]>(RESULTS, `${id}.${segment}`, 'caller')).map(({ value }) => value)
  }

  /** Every result from segment `first` on. */
  async readSegments (id: string, first = 0): Promise<Result<ReadonlyArray<readonly ListedResult[]>, StoreError>> {
    const segments: Array<readonly ListedResult[]> = []
    for (;;) {
      const segment = await this.readSegment(id, first + segments.length)
      if (segment.ok) segments.push(segment.val)
      else return segment.val.type === 'missing' ? Ok(segments) : Err(segment.val)
    }
  }

  /** `conflict` says that another daemon has created it. */
  async createSegment (id: string, segment: number, results: readonly ListedResult[]): Promise<Result<void, StoreError>> {
    return await this.createOnce(RESULTS, `${id}.${segment}`, results)
  }

  /** Replaces the note of a job's progress; `version` is that of the note known, 0 for none. Gives the new one's. */
  async writeProgress (id: string, progress: readonly ItemProgress[], version: number): Promise<Result<number, StoreError>> {
    return (await this.store.put(PROGRESS, id, progress, version, 'background')).map(written => written.version)
  }

  /** How far the job's items had come when it was last noted. */
  async readProgress (id: string): Promise<Result<readonly ItemProgress[], StoreError>> {
    const read = await this.store.get<readonly ItemProgress[]>(PROGRESS, id, 'caller')
    if (read.ok) return Ok(read.val.value)
    return read.val.type === 'missing' ? Ok([]) : read
  }

  async end (id: string): Promise<Result<void, StoreError>> {
    const ended = await this.createOnce(ENDS, id, true)
    return ended.err && ended.val.type === 'conflict' ? Ok(undefined) : ended
  }

  async isEnded (id: string): Promise<Result<boolean, StoreError>> {
    const end = await this.store.get(ENDS, id, 'caller')
    if (end.ok) return Ok(true)
    return end.val.type === 'missing' ? Ok(false) : end
  }

  /** The ends stored since the cursor of the last read, -1 before the first; at once, whether there are any or not. */
  async readEndedJobs (cursor: number): Promise<Result<WatchBatch<boolean>, StoreError>> {
    return await this.store.watch<boolean>(ENDS, cursor, READ_WAIT, 'caller')
  }

  async listHeaders (): Promise<Result<ReadonlyMap<string, JobHeader>, StoreError>> {
    const headers = new Map<string, JobHeader>()
    for await (const page of listPages<JobHeader>(this.store, HEADERS)) {
      if (page.err) return page
      for (const { name, value } of page.val) headers.set(name, value)
    }
    return Ok(headers)
  }

  /**
   * Removes all that is stored of a job, its head last: a removal that breaks off is found by the head and goes on. `missing`
   * where there is no such job.
   */
  async remove (id: string): Promise<Result<void, StoreError>> {
    const header = await this.readHeader(id)
    if (header.err) return header
    for (let segment = 0; ; segment++) {
      const removed = await this.removeOne(RESULTS, `${id}.${segment}`)
      if (removed.err && removed.val.type === 'missing') break
      if (removed.err) return removed
    }
    const rest: ReadonlyArray<readonly [string, string]> = [...Array.from({ length: header.val.parts }, (_, i): [string, string] => [ITEMS, `${id}.${i}`]), [PROGRESS, id], [ENDS, id], [HEADERS, id]]
    for (const [kind, name] of rest) {
      const removed = await this.removeOne(kind, name)
      if (removed.err && removed.val.type !== 'missing') return removed
    }
    return Ok(undefined)
  }

  private async removeOne (kind: string, name: string): Promise<Result<void, StoreError>> {
    const object = await this.store.get(kind, name, 'background')
    return object.err ? object : await this.store.delete(kind, name, object.val.version, 'background')
  }

  private async createOnce (kind: string, name: string, value: unknown): Promise<Result<void, StoreError>> {
    return (await this.store.put(kind, name, value, 0, 'caller')).map(() => undefined)
  }
}

/** Whether an object may be there after a write that should create it. */
function mayBeStored (written: Result<void, StoreError>): boolean {
  return written.ok || written.val.type === 'conflict' || written.val.type === 'unknown'
}
