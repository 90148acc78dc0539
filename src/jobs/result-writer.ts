import type { Clock } from '../kernel/clock.js'
import { pauseFor } from '../kernel/pause-for.js'
import type { PauseWatch } from '../kernel/pause-watch.js'
import type { LogSink } from '../observe/log-sink.js'
import { findPageProof } from './find-page-proof.js'
import type { JobRecords } from './job-records.js'
import type { OwnedJob } from './owned-job.js'
import type { PageProof } from './page-proof.js'
import { planSegment } from './plan-segment.js'
import { readNewSegments } from './read-new-segments.js'
import type { StoredResult } from './stored-result.js'

/** Minimum time between two segments of a job, ms. Each segment costs a write, and callers poll about twice a second. */
const STORE_PERIOD = 400
/** Delay before the next write after a failed one, ms. */
const RETRY_DELAY = 300
/** Minimum time between two attempts to close a segment, ms; reads of the store answer callers meanwhile. */
const CLOSE_PERIOD = 1_000

interface ResultWriterOptions {
  readonly records: JobRecords
  readonly clock: Clock
  readonly log: LogSink
  readonly pauses: Pick<PauseWatch, 'beginRead' | 'check'>
  /** Whether this daemon is shutting down; results are then stored without delay. */
  readonly isDraining: () => boolean
  readonly isOwned: (job: OwnedJob) => boolean
  /** Called when a segment of an owned job is known to be stored. */
  readonly onStored: (job: OwnedJob) => void
}

/** Stores the results of owned jobs in numbered segments. A segment is created only after all earlier ones have been read or written. */
export class ResultWriter {
  constructor (private readonly options: ResultWriterOptions) {}

  /** Stores pending results as the next segment, one at a time for each job and at most once per `STORE_PERIOD`. */
  async store (job: OwnedJob): Promise<void> {
    const { clock, isDraining, isOwned } = this.options
    if (job.isStoring || job.pending.length === 0 || job.ended) return
    job.isStoring = true
    const isLast = job.items.every(({ phase }) => phase === 'ended')
    const storeAt = isLast || isDraining() ? job.storeFrom : Math.max(job.storeFrom, job.storedAt + STORE_PERIOD)
    if (clock.now() < storeAt) await pauseFor(clock, storeAt - clock.now())
    job.storedAt = clock.now()
    const stored = await this.storeSegment(job)
    if (!stored) await pauseFor(clock, RETRY_DELAY)
    job.isStoring = false
    if (isOwned(job)) void this.store(job)
  }

  /**
   * Ensures that the results of an owned job include all that callers may have read, by a read of the store unless this daemon is known to be the
   * only one that stores them. Returns the proof, or undefined if there is none.
   */
  async confirmCurrent (job: OwnedJob): Promise<PageProof | undefined> {
    const { clock, pauses } = this.options
    pauses.check()
    const known = findPageProof(job, clock.now())
    if (known?.basis === 'done' || known?.basis === 'sole owner') return known
    await this.applyStored(job)
    pauses.check()
    return findPageProof(job, clock.now())
  }

  private async applyStored (job: OwnedJob): Promise<void> {
    const now = this.options.clock.now()
    const isClosable = job.doubtSince === -Infinity && job.isSoleOwner(now) && !job.isStoring && now >= job.storedAt + CLOSE_PERIOD
    if (isClosable) await this.closeSegment(job)
    else await this.readNew(job)
  }

  private async readNew (job: OwnedJob): Promise<void> {
    const { records, pauses, clock, isOwned, onStored, log } = this.options
    const segment = job.segmentCount
    const added = await readNewSegments(job, { records, beginRead: () => pauses.beginRead(), now: clock.now() })
    if (added === undefined || added === 0 || !isOwned(job)) return
    log.write('info', 'jobs', 'read stored results that were missing here', { job: job.id, segment, results: job.readPage(0).next, of: job.header.total })
    onStored(job)
  }

  /**
   * Creates the next segment of a job that was taken over, without results if there are none to be stored, so that no write of a former owner can
   * take effect any more. Such a write may be executed seconds later, and its results would be listed by daemons that read the store alone.
   */
  private async closeSegment (job: OwnedJob): Promise<void> {
    job.isStoring = true
    job.storedAt = this.options.clock.now()
    await this.storeSegment(job)
    job.isStoring = false
    if (this.options.isOwned(job)) void this.store(job)
  }

  private async storeSegment (job: OwnedJob): Promise<boolean> {
    const { records, log, clock } = this.options
    const results = planSegment(job.pending, job.pieces)
    const { segmentCount, doubtSince } = job
    job.doubtSince ??= clock.now()
    const created = await records.createSegment(job.id, segmentCount, results)
    if (created.ok) this.addSegment(job, segmentCount, results)
    else if (created.val.type === 'conflict') return await this.addStoredSegment(job, segmentCount)
    else if (created.val.type !== 'unknown' && job.segmentCount === segmentCount) job.doubtSince = doubtSince
    if (created.err) log.write('warn', 'jobs', 'could not store results, will retry', { job: job.id, error: created.val.type, waiting: job.pending.length })
    return created.ok
  }

  /** Reads a segment that exists already: created by another daemon, or by this one in a write whose reply was lost. */
  private async addStoredSegment (job: OwnedJob, segment: number): Promise<boolean> {
    const read = await this.options.records.readSegment(job.id, segment)
    this.options.log.write('info', 'jobs', 'found a segment of results stored already', { job: job.id, segment, read: read.ok, results: read.ok ? read.val.length : 0 })
    if (read.ok) this.addSegment(job, segment, read.val)
    else this.options.log.write('warn', 'jobs', 'could not read results that are stored already, will retry', { job: job.id, segment, error: read.val.type, waiting: job.pending.length })
    return read.ok
  }

  private addSegment (job: OwnedJob, segment: number, results: readonly StoredResult[]): void {
    job.addSegment(segment, results)
    if (this.options.isOwned(job)) this.options.onStored(job)
  }
}
