import type { Clock } from '../kernel/clock.js'
import { pauseFor } from '../kernel/pause-for.js'
import type { LogSink } from '../observe/log-sink.js'
import type { JobRecords } from './job-records.js'
import type { ListedResult } from './listed-result.js'
import type { OwnedJob } from './owned-job.js'
import { splitBySize } from './split-by-size.js'

/** Least time between two segments of one job, ms: callers read about twice a second, and each segment is a write. */
const STORE_PERIOD = 400
/** Between a failed write of results and the next, ms. */
const RETRY = 300
/** Bytes of results in one segment. */
const SEGMENT_BYTES = 500_000

interface ResultWriterOptions {
  readonly records: JobRecords
  readonly clock: Clock
  readonly log: LogSink
  /** Whether this daemon leaves, and results are stored without a pause. */
  readonly isDraining: () => boolean
  readonly isOwned: (job: OwnedJob) => boolean
  /** Runs when a segment of an owned job is known to be stored. */
  readonly onStored: (job: OwnedJob) => void
}

/** Stores the results of owned jobs in numbered segments, each created by whoever has read all before it. */
export class ResultWriter {
  constructor (private readonly options: ResultWriterOptions) {}

  /** Stores pending results as the next segment; one at a time for each job, and not too often. */
  async store (job: OwnedJob): Promise<void> {
    const { clock, isDraining, isOwned } = this.options
    if (job.isStoring || job.pending.length === 0 || job.ended) return
    job.isStoring = true
    const pause = job.storedAt + STORE_PERIOD - clock.now()
    const isLast = job.items.every(({ phase }) => phase === 'ended')
    if (pause > 0 && !isLast && !isDraining()) await pauseFor(clock, pause)
    job.storedAt = clock.now()
    const stored = await this.storeSegment(job)
    if (!stored) await pauseFor(clock, RETRY)
    job.isStoring = false
    if (isOwned(job)) void this.store(job)
  }

  /** Takes what the store has of the job's results and isn't known here; false where it doesn't answer. */
  async readNew (job: OwnedJob): Promise<boolean> {
    const from = job.segments
    const segments = await this.options.records.readSegments(job.id, from)
    if (segments.err) return false
    segments.val.forEach((results, i) => this.addSegment(job, from + i, results))
    return true
  }

  private async storeSegment (job: OwnedJob): Promise<boolean> {
    const { records, log } = this.options
    const [results = []] = splitBySize(job.pending, ({ text }) => text.length, SEGMENT_BYTES)
    const { segments } = job
    const created = await records.createSegment(job.id, segments, results)
    if (created.ok) this.addSegment(job, segments, results)
    else if (created.val.type === 'conflict') return await this.addStoredSegment(job, segments)
    else log.write('warn', 'jobs', 'results could not be stored yet', { job: job.id, error: created.val.type, waiting: job.pending.length })
    return created.ok
  }

  /** Another daemon has created the segment, or this one has and never heard so. */
  private async addStoredSegment (job: OwnedJob, segment: number): Promise<boolean> {
    const read = await this.options.records.readSegment(job.id, segment)
    if (read.ok) this.addSegment(job, segment, read.val)
    return read.ok
  }

  private addSegment (job: OwnedJob, segment: number, results: readonly ListedResult[]): void {
    job.addSegment(segment, results)
    if (this.options.isOwned(job)) this.options.onStored(job)
  }
}
