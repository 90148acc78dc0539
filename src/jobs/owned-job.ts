import type { LastRead } from '../coordination/last-read.js'
import { mayStart } from '../coordination/may-start.js'
import type { ItemProgress } from './item-progress.js'
import type { ListedResult } from './listed-result.js'
import type { ItemState } from './item-state.js'
import type { JobHeader } from './job-header.js'
import type { JobItem } from './job-item.js'
import type { KnownJob } from './known-job.js'
import type { ResultsPage } from './results-page.js'

/** Bytes of results in one answer. */
const PAGE_BYTES = 500_000
/** Oldest look at whether it has ended with which its items start, ms: callers are promised that none runs 3 s after an end. */
const MAX_READ_AGE = 2_500

interface OwnedJobOptions {
  readonly id: string
  readonly header: JobHeader
  readonly items: readonly JobItem[]
  readonly segments: ReadonlyArray<readonly ListedResult[]>
  /** Monotonic ms of its acceptance. */
  readonly acceptedAt: number
  /** Monotonic ms at which the store knew of no end of it. */
  readonly readAt?: number
  /** From whom it was taken over, in the life in which that one had it. */
  readonly formerOwner?: Pick<KnownJob, 'owner' | 'run'>
}

/** A job that this daemon runs: its items, and the results that are stored or wait to be. */
export class OwnedJob {
  readonly id: string
  readonly header: JobHeader
  readonly acceptedAt: number
  readonly formerOwner: Pick<KnownJob, 'owner' | 'run'> | undefined
  readonly items: readonly ItemState[]
  /** Set when its caller ended it: nothing of it runs any more. */
  ended = false
  /** When the store was last seen to know of no end of it. */
  lastRead: LastRead
  /** Whether a segment of its results is being stored, and when the last was begun; monotonic ms. */
  isStoring = false
  storedAt = -Infinity
  /** Monotonic ms at which the others were last told how much of it is left. */
  publishedAt = -Infinity
  /** Until when another daemon may own it too and have stored results that aren't known here, monotonic ms. */
  contestedUntil = -Infinity
  /** Results that aren't stored yet. */
  readonly pending: ListedResult[] = []
  /** Stored segments of results. */
  segments: number
  private readonly results: ListedResult[]
  private readonly listed: Set<string>
  private readonly listeners = new Set<() => void>()

  constructor ({ id, header, items, segments, acceptedAt, readAt, formerOwner }: OwnedJobOptions) {
    this.id = id
    this.header = header
    this.acceptedAt = acceptedAt
    this.formerOwner = formerOwner
    this.lastRead = { seen: readAt, unreachable: false }
    this.segments = segments.length
    this.results = segments.flat()
    this.listed = new Set(this.results.map(result => result.id))
    this.items = items.map(item => ({ item, last: undefined, texts: [], failures: 0, losses: 0, notBefore: 0, phase: this.listed.has(item.id) ? 'ended' : 'waiting' }))
  }

  get isDone (): boolean {
    return this.results.length >= this.header.total
  }

  /** Whether its items may run now, monotonic ms: only as long as it is known not to have been ended. */
  mayStart (now: number): boolean {
    return !this.ended && mayStart(this.lastRead, now, { fresh: MAX_READ_AGE })
  }

  get tokensLeft (): number {
    return this.items.reduce((sum, { item, phase }) => sum + (phase === 'ended' ? 0 : item.tokens), 0)
  }

  find (item: string): JobItem | undefined {
    return this.items.find(({ item: { id } }) => id === item)?.item
  }

  /** What runs of its items have come to that aren't finished. */
  copyProgress (): readonly ItemProgress[] {
    return this.items.flatMap(({ item: { id }, last, texts, failures, phase }) => last === undefined || phase === 'ended' ? [] : [{ id, last, texts: [...texts], failures }])
  }

  /** Goes on from where another daemon got to; an item that has come further here stays. */
  applyProgress (progress: readonly ItemProgress[]): void {
    for (const { id, last, texts, failures } of progress) {
      const state = this.items.find(({ item }) => item.id === id)
      if (state === undefined || state.phase !== 'waiting' || (state.last ?? -1) >= last) continue
      state.last = last
      state.texts.splice(0, state.texts.length, ...texts)
      state.failures = Math.max(state.failures, failures)
    }
  }

  /** Ends an item with its result, which is shown once it is stored. */
  finish (state: ItemState, result: ListedResult): void {
    if (state.phase === 'ended') return
    state.phase = 'ended'
    state.texts.length = 0
    this.pending.push(result)
  }

  /**
   * Takes the stored segment of number `segment`, created by this daemon or another; results that it has aren't stored again. One that
   * is known already changes nothing: two reads that overlap would list its results twice.
   */
  addSegment (segment: number, results: readonly ListedResult[]): void {
    if (segment !== this.segments) return
    this.segments++
    for (const result of results) {
      this.results.push(result)
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
      size += result.text.length
      if (results.length > 0 && size > PAGE_BYTES) break
      results.push(result)
    }
    return { total: this.header.total, results, next: after + results.length }
  }

  /** Calls `listener` at the next change of its results; the function it gives back ends that. */
  subscribe (listener: () => void): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  notify (): void {
    for (const listener of [...this.listeners]) listener()
  }
}
