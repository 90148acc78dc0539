import type { LastRead } from '../coordination/versions/last-read.js'
import { mayStart } from '../coordination/claims/may-start.js'
import type { ItemProgress } from './item-progress.js'
import { listWholeResults } from './list-whole-results.js'
import type { ListedResult } from './listed-result.js'
import type { ItemState } from './item-state.js'
import type { JobHeader } from './job-header.js'
import type { JobItem } from './job-item.js'
import type { OwnerProcess } from './owner-process.js'
import { ResultPieces } from './result-pieces.js'
import type { ResultsPage } from './results-page.js'
import type { StoredResult } from './stored-result.js'

/** Maximum size of one page of results, in bytes. */
const PAGE_BYTES = 500_000
/** Age in ms up to which a read of the store lets items start: callers are promised that none runs 3 s after the job was ended. */
const MAX_READ_AGE = 2_500
/** Time for an answer from memory to reach its caller, ms. */
const READ_MARGIN = 200

interface OwnedJobOptions {
  readonly id: string
  readonly header: JobHeader
  readonly items: readonly JobItem[]
  readonly segments: ReadonlyArray<readonly StoredResult[]>
  /** Time of acceptance, monotonic ms. */
  readonly acceptedAt: number
  /** When the store held no end of the job, monotonic ms. */
  readonly readAt?: number
  /** The process that it was taken over from. */
  readonly formerOwner?: OwnerProcess
}

/** A job that this daemon owns: its items, its stored results and those still to be stored. */
export class OwnedJob {
  readonly id: string
  readonly header: JobHeader
  readonly acceptedAt: number
  readonly formerOwner: OwnerProcess | undefined
  readonly items: readonly ItemState[]
  /** Set once the end of the job by its caller is known here; none of its items start after that. */
  ended = false
  /** The last read of the store that showed no end of the job. */
  lastRead: LastRead
  /** Whether a segment of results is being stored, and when the last write began, monotonic ms. */
  isStoring = false
  storedAt = -Infinity
  /** When the progress was last published, monotonic ms. */
  publishedAt = -Infinity
  /** Until when another daemon may own the job too and have stored results that are missing here, monotonic ms. */
  contestedUntil = -Infinity
  /** Whether the store shows that another process may own the job too. Callers may have read results from it that are missing here. */
  isShared = false
  /** Until when no result is stored here, monotonic ms, because another owner may not have seen the record of the takeover. */
  storeFrom = -Infinity
  /**
   * From when on the next segment may have been stored without this daemon's knowledge, monotonic ms: a write of it has no answer yet, got none,
   * or may have been sent by a former owner. Undefined while none is in doubt.
   */
  doubtSince: number | undefined
  /** When the last read of the store began that found no further segment, monotonic ms. */
  readUntil = -Infinity
  /** The pending read of the store for new segments: when it began, monotonic ms, and the number of segments that it adds, undefined if it fails. */
  reading: { readonly began: number, readonly added: Promise<number | undefined> } | undefined
  /** The stored pieces of results that aren't whole yet. */
  readonly pieces = new ResultPieces()
  /** Results still to be stored. */
  readonly pending: ListedResult[] = []
  /** Number of stored segments. */
  segmentCount: number
  /** Bytes of the texts of the stored results. */
  resultBytes = 0
  private hasBodies = true
  private readonly results: ListedResult[]
  private readonly listed: Set<string>
  private readonly listeners = new Set<() => void>()

  constructor ({ id, header, items, segments, acceptedAt, readAt, formerOwner }: OwnedJobOptions) {
    this.id = id
    this.header = header
    this.acceptedAt = acceptedAt
    this.formerOwner = formerOwner
    this.lastRead = { seen: readAt, unreachable: false }
    this.doubtSince = formerOwner === undefined ? undefined : -Infinity
    this.segmentCount = segments.length
    this.results = listWholeResults(segments, this.pieces)
    this.listed = new Set(this.results.map(result => result.id))
    this.items = items.map(item => ({ item, last: undefined, texts: [], failures: 0, losses: 0, notBefore: 0, phase: this.listed.has(item.id) ? 'ended' : 'waiting' }))
  }

  get isDone (): boolean {
    return this.results.length >= this.header.total
  }

  /** Whether items may start at `now`, monotonic ms: only while a recent read has shown that the job was not ended. */
  mayStart (now: number): boolean {
    return !this.ended && mayStart(this.lastRead, now, { fresh: MAX_READ_AGE })
  }

  /**
   * Until when the results here include all that callers may have read, monotonic ms, by what this daemon knows as the owner; -Infinity if it
   * can't tell. While the store doesn't answer, other daemons may own the job and list results too: unlike the start of items, this never rests
   * on an old read.
   */
  findCompleteUntil (now: number): number {
    return this.isSoleOwner(now) ? this.doubtSince ?? now : -Infinity
  }

  /** Whether a recent look-up shows that no other daemon stores results of the job, unless a former owner has left a write. */
  isSoleOwner (now: number): boolean {
    return !this.ended && !this.isShared && now >= this.contestedUntil && now - (this.lastRead.seen ?? -Infinity) <= MAX_READ_AGE
  }

  /** Marks the job as shared, and holds its results back until the other owner's last read before the takeover is too old to answer from memory. */
  holdResults (now: number): void {
    this.isShared = true
    this.storeFrom = now + MAX_READ_AGE + READ_MARGIN
  }

  /** Tokens of the unfinished items. */
  get tokensLeft (): number {
    return this.items.reduce((sum, { item, phase }) => sum + (phase === 'ended' ? 0 : item.tokens), 0)
  }

  /** Drops the bodies of the items of a job that has ended. */
  dropBodies (): void {
    for (const state of this.items) state.item = { ...state.item, body: '' }
    this.hasBodies = false
  }

  /** Returns an item whose body is still held. */
  find (item: string): JobItem | undefined {
    return !this.hasBodies ? undefined : this.items.find(({ item: { id } }) => id === item)?.item
  }

  /** Copies the progress of the unfinished items. */
  copyProgress (): readonly ItemProgress[] {
    return this.items.flatMap(({ item: { id }, last, texts, version, failures, phase }) => last === undefined || phase === 'ended' ? [] : [{ id, last, texts: [...texts], version, failures }])
  }

  /** Applies the progress of another daemon to waiting items that are behind it. */
  applyProgress (progress: readonly ItemProgress[]): void {
    for (const { id, last, texts, version, failures } of progress) {
      const state = this.items.find(({ item }) => item.id === id)
      if (state === undefined || state.phase !== 'waiting' || (state.last ?? -1) >= last) continue
      state.version = version
      state.last = last
      state.progressAt = undefined
      state.texts.splice(0, state.texts.length, ...texts)
      state.failures = Math.max(state.failures, failures)
    }
  }

  /** Finishes an item. Callers can read the result once it is stored. */
  finish (state: ItemState, result: ListedResult): void {
    if (state.phase === 'ended') return
    state.phase = 'ended'
    state.texts.length = 0
    this.pending.push(result)
  }

  /**
   * Adds stored segment number `segment`, created by this daemon or another, and drops its results from those still to be stored. A segment
   * that was added before is ignored, since two reads may overlap.
   */
  addSegment (segment: number, results: readonly StoredResult[]): void {
    if (segment !== this.segmentCount) return
    this.segmentCount++
    this.doubtSince = undefined
    for (const result of listWholeResults([results], this.pieces)) {
      this.results.push(result)
      this.resultBytes += result.text.length
      this.listed.add(result.id)
      const state = this.items.find(({ item }) => item.id === result.id)
      if (state !== undefined) state.phase = 'ended'
    }
    const left = this.pending.filter(({ id }) => !this.listed.has(id))
    this.pending.splice(0, this.pending.length, ...left)
    this.notify()
  }

  readPage (after: number): ResultsPage {
    const results: ListedResult[] = []
    let size = 0
    for (const result of this.results.slice(after)) {
      size += Buffer.byteLength(result.text)
      if (results.length > 0 && size > PAGE_BYTES) break
      results.push(result)
    }
    return { total: this.header.total, results, next: after + results.length }
  }

  /** Calls `listener` at each change of the results until the returned function is called. */
  subscribe (listener: () => void): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  notify (): void {
    for (const listener of [...this.listeners]) listener()
  }
}
