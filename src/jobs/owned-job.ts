import type { LastRead } from '../coordination/last-read.js'
import { mayStart } from '../coordination/may-start.js'
import type { ItemProgress } from './item-progress.js'
import type { ListedResult } from './listed-result.js'
import type { ItemState } from './item-state.js'
import type { JobHead } from './job-head.js'
import type { JobItem } from './job-item.js'
import type { KnownJob } from './known-job.js'
import type { ResultsPage } from './results-page.js'

/** Bytes of results in one answer. */
const PAGE_BYTES = 500_000
/** Oldest look at whether it has ended with which its items start, ms: callers are promised that none runs 3 s after an end. */
const FRESH_LOOK = 2_500

interface OwnedJobOptions {
  readonly id: string
  readonly head: JobHead
  readonly items: readonly JobItem[]
  readonly segments: ReadonlyArray<readonly ListedResult[]>
  /** Monotonic ms of its acceptance. */
  readonly acceptedAt: number
  /** Monotonic ms at which the store knew of no end of it. */
  readonly openAt?: number
  /** From whom it was taken over, in the life in which that one had it. */
  readonly former?: Pick<KnownJob, 'owner' | 'run'>
}

/** A job that this daemon runs: its items, and the results that are stored or wait to be. */
export class OwnedJob {
  readonly id: string
  readonly head: JobHead
  readonly acceptedAt: number
  readonly former: Pick<KnownJob, 'owner' | 'run'> | undefined
  readonly items: readonly ItemState[]
  /** Set when its caller ended it: nothing of it runs any more. */
  ended = false
  /** When the store was last seen to know of no end of it. */
  look: LastRead
  /** Whether a segment of its results is being stored, and when the last was begun; monotonic ms. */
  isStoring = false
  storedAt = -Infinity
  /** Monotonic ms at which the others were last told how much of it is left. */
  toldAt = -Infinity
  /** Until when another daemon may own it too and have stored results that aren't known here, monotonic ms. */
  doubtfulUntil = -Infinity
  /** Results that aren't stored yet. */
  readonly pending: ListedResult[] = []
  /** Stored segments of results. */
  segments: number
  private readonly results: ListedResult[]
  private readonly listed: Set<string>
  private readonly readers = new Set<() => void>()

  constructor ({ id, head, items, segments, acceptedAt, openAt, former }: OwnedJobOptions) {
    this.id = id
    this.head = head
    this.acceptedAt = acceptedAt
    this.former = former
    this.look = { seen: openAt, unreachable: false }
    this.segments = segments.length
    this.results = segments.flat()
    this.listed = new Set(this.results.map(result => result.id))
    this.items = items.map(item => ({ item, last: undefined, texts: [], failures: 0, losses: 0, notBefore: 0, phase: this.listed.has(item.id) ? 'ended' : 'waiting' }))
  }

  get isDone (): boolean {
    return this.results.length >= this.head.total
  }

  /** Whether its items may run now, monotonic ms: only as long as it is known not to have been ended. */
  mayStart (now: number): boolean {
    return !this.ended && mayStart(this.look, now, { fresh: FRESH_LOOK })
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
  useProgress (progress: readonly ItemProgress[]): void {
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
    this.wake()
  }

  readPage (after: number): ResultsPage {
    const results: ListedResult[] = []
    let size = 0
    for (const result of this.results.slice(after)) {
      size += result.text.length
      if (results.length > 0 && size > PAGE_BYTES) break
      results.push(result)
    }
    return { total: this.head.total, results, next: after + results.length }
  }

  /** Calls `listener` at the next change of its results; the function it gives back ends that. */
  subscribe (listener: () => void): () => void {
    this.readers.add(listener)
    return () => this.readers.delete(listener)
  }

  wake (): void {
    for (const reader of [...this.readers]) reader()
  }
}
