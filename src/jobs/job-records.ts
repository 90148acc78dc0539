import { inject, Lifecycle, scoped } from 'tsyringe'
import { Err, Ok, type Result } from 'ts-results'
import { tokens } from '../kernel/tokens.js'
import type { ObjectStore } from '../store/object-store.js'
import { listPages } from '../store/list-pages.js'
import type { StoreError } from '../store/store-error.js'
import type { WatchBatch } from '../store/watch-batch.js'
import { countJsonBytes } from './count-json-bytes.js'
import type { ItemProgress } from './item-progress.js'
import type { JobHeader } from './job-header.js'
import type { JobItem } from './job-item.js'
import type { OwnerProcess } from './owner-process.js'
import { mergeBodies } from './merge-bodies.js'
import { splitBodies } from './split-bodies.js'
import { splitBySize } from './split-by-size.js'
import type { StoredItem } from './stored-item.js'
import type { StoredResult } from './stored-result.js'

const HEADERS = 'jobs'
const ITEMS = 'job-items'
const RESULTS = 'job-results'
const ENDS = 'job-ends'
const PROGRESS = 'job-progress'
/** Ends the name of the recorded owners, after the job's id. */
const OWNER_SUFFIX = '.owner'
/** Maximum bytes of the items in one object, and of a piece of a body; one item may have as many as `findItemFault` allows besides. Objects hold up to a megabyte. */
const OBJECT_BYTES = 600_000
/** Attempts to replace the recorded owners while other daemons take the same job over. */
const RECORD_ATTEMPTS = 3
/** How long a read of new ends waits for one, ms: the minimum that the store accepts. */
const READ_WAIT = 1

interface RecordOptions {
  /** Owners that are known otherwise. */
  readonly former: readonly OwnerProcess[]
  /** Whether a process other than the recorded one may still run. */
  readonly mayRun: (process: OwnerProcess) => boolean
}

/**
 * The stored form of jobs. Every object but the progress is created once and never changed, so that no write depends on an earlier read:
 * header and items, a long body in pieces, written concurrently, which are a job once all exist; numbered segments of results, each created by a daemon that has read
 * all earlier ones, so that two daemons that run the same job can't both create a segment, and a large result as pieces in several of them; and
 * the end. The progress of the items is replaced:
 * any version of it is valid, since any server can resume after any event. The processes that took a job over are replaced as well; they are
 * stored beside the ends, which every owner looks up all the time.
 */
@scoped(Lifecycle.ContainerScoped)
export class JobRecords {
  constructor (@inject(tokens.store) private readonly store: ObjectStore) {}

  /** Returns the name under which the owners of a job are recorded among the ends. */
  static buildOwnerName (id: string): string {
    return `${id}${OWNER_SUFFIX}`
  }

  /** Whether a job must not have this id, because the owners of another one may be recorded under it. */
  static isReserved (id: string): boolean {
    return id.endsWith(OWNER_SUFFIX)
  }

  /**
   * Stores a new job; `conflict` means that a job of this id exists. Where the header may be stored but some items failed, the outcome is
   * `unknown`: an earlier or later attempt may store the missing items, and the job would then run.
   */
  async create (id: string, header: Omit<JobHeader, 'parts'>, items: readonly JobItem[]): Promise<Result<void, StoreError>> {
    const parts = splitBySize(splitBodies(items, OBJECT_BYTES), countJsonBytes, OBJECT_BYTES)
    const [written, ...stored] = await Promise.all([
      this.createOnce(HEADERS, id, { ...header, parts: parts.length } satisfies JobHeader),
      ...parts.map(async (part, i) => await this.createOnce(ITEMS, `${id}.${i}`, part))
    ])
    const isWhole = stored.every(result => result.ok || result.val.type === 'conflict')
    return isWhole || !mayBeStored(written) ? written : Err({ type: 'unknown', reason: 'its header may be stored, and its items are not' })
  }

  async readHeader (id: string): Promise<Result<JobHeader, StoreError>> {
    return (await this.store.get<JobHeader>(HEADERS, id, 'caller')).map(({ value }) => value)
  }

  async readItems (id: string, { parts }: JobHeader): Promise<Result<readonly JobItem[], StoreError>> {
    const read = await Promise.all(Array.from({ length: parts }, async (_, i) => await this.store.get<readonly StoredItem[]>(ITEMS, `${id}.${i}`, 'caller')))
    const failed = read.find(result => result.err)
    if (failed?.err === true) return failed
    return Ok(mergeBodies(read.flatMap(result => result.unwrap().value)))
  }

  /** Whether the job's items are stored; removal deletes the first of them before the job's end and header. */
  async hasItems (id: string): Promise<Result<boolean, StoreError>> {
    const first = await this.store.get(ITEMS, `${id}.0`, 'caller')
    if (first.ok) return Ok(true)
    return first.val.type === 'missing' ? Ok(false) : first
  }

  /** Reads the results of one segment; `missing` after the last. */
  async readSegment (id: string, segment: number): Promise<Result<readonly StoredResult[], StoreError>> {
    return (await this.store.get<readonly StoredResult[]>(RESULTS, `${id}.${segment}`, 'caller')).map(({ value }) => value)
  }

  /** Reads all segments from `first` on. */
  async readSegments (id: string, first = 0): Promise<Result<ReadonlyArray<readonly StoredResult[]>, StoreError>> {
    const segments: Array<readonly StoredResult[]> = []
    for (;;) {
      const segment = await this.readSegment(id, first + segments.length)
      if (segment.ok) segments.push(segment.val)
      else return segment.val.type === 'missing' ? Ok(segments) : Err(segment.val)
    }
  }

  /** Creates a segment; `conflict` means that it exists already. */
  async createSegment (id: string, segment: number, results: readonly StoredResult[]): Promise<Result<void, StoreError>> {
    return await this.createOnce(RESULTS, `${id}.${segment}`, results)
  }

  /** Replaces the stored progress of a job at `version`, 0 for none. Returns the new version. */
  async writeProgress (id: string, progress: readonly ItemProgress[], version: number): Promise<Result<number, StoreError>> {
    return (await this.store.put(PROGRESS, id, progress, version, 'background')).map(written => written.version)
  }

  /** Reads the last stored progress of the job's items; empty where there is none. */
  async readProgress (id: string): Promise<Result<readonly ItemProgress[], StoreError>> {
    const read = await this.store.get<readonly ItemProgress[]>(PROGRESS, id, 'caller')
    if (read.ok) return Ok(read.val.value)
    return read.val.type === 'missing' ? Ok([]) : read
  }

  /** Stores the end of a job by its caller; succeeds where it is stored already. */
  async end (id: string): Promise<Result<void, StoreError>> {
    const ended = await this.createOnce(ENDS, id, true)
    return ended.err && ended.val.type === 'conflict' ? Ok(undefined) : ended
  }

  async isEnded (id: string): Promise<Result<boolean, StoreError>> {
    const end = await this.store.get(ENDS, id, 'caller')
    if (end.ok) return Ok(true)
    return end.val.type === 'missing' ? Ok(false) : end
  }

  /**
   * Records a process that takes a job over, for other owners to find. Returns the other owners: those recorded before, and those in `former`,
   * for which `mayRun` returns true.
   */
  async recordOwner (id: string, process: OwnerProcess, { former, mayRun }: RecordOptions): Promise<Result<readonly OwnerProcess[], StoreError>> {
    const name = JobRecords.buildOwnerName(id)
    let [version, known] = [0, former]
    for (let tries = 1; ; tries++) {
      const others = known.filter(mayRun)
      const written = await this.store.put(ENDS, name, [...others, process], version, 'caller')
      if (written.ok) return Ok(others)
      if (written.val.type !== 'conflict' || tries === RECORD_ATTEMPTS) return written
      const recorded = await this.store.get<readonly OwnerProcess[]>(ENDS, name, 'caller')
      if (recorded.err) return recorded
      const { value } = recorded.val
      version = recorded.val.version
      known = [...value, ...former.filter(({ owner, run }) => !value.some(other => other.owner === owner && other.run === run))]
    }
  }

  /** Reads the ends and recorded owners stored since `cursor`, the one of the previous read or -1, without waiting for new ones. */
  async readEndedJobs (cursor: number): Promise<Result<WatchBatch<true | readonly OwnerProcess[]>, StoreError>> {
    return await this.store.watch<true | readonly OwnerProcess[]>(ENDS, cursor, READ_WAIT, { priority: 'caller' })
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
   * Removes all stored objects of a job, the header last, so that an interrupted removal can be found and resumed. Fails with `missing` where
   * there is no such job.
   */
  async remove (id: string): Promise<Result<void, StoreError>> {
    const header = await this.readHeader(id)
    if (header.err) return header
    const removed = await this.removeSegments(id)
    if (removed.err) return removed
    const rest: ReadonlyArray<readonly [string, string]> = [...Array.from({ length: header.val.parts }, (_, i): [string, string] => [ITEMS, `${id}.${i}`]), [PROGRESS, id], [ENDS, JobRecords.buildOwnerName(id)], [ENDS, id], [HEADERS, id]]
    for (const [kind, name] of rest) {
      const removed = await this.removeOne(kind, name)
      if (removed.err && removed.val.type !== 'missing') return removed
    }
    return Ok(undefined)
  }

  /** Removes the segments from the last to the first, so that an interrupted removal leaves none behind a gap. */
  private async removeSegments (id: string): Promise<Result<void, StoreError>> {
    const versions: number[] = []
    for (;;) {
      const segment = await this.store.get(RESULTS, `${id}.${versions.length}`, 'background')
      if (segment.err && segment.val.type === 'missing') break
      if (segment.err) return segment
      versions.push(segment.val.version)
    }
    for (const [segment, version] of [...versions.entries()].reverse()) {
      const removed = await this.store.delete(RESULTS, `${id}.${segment}`, version, 'background')
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

/** Whether the object may exist after a write that was to create it. */
function mayBeStored (written: Result<void, StoreError>): boolean {
  return written.ok || written.val.type === 'conflict' || written.val.type === 'unknown'
}
