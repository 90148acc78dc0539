import type { Clock } from '../kernel/clock.js'
import { pauseFor } from '../kernel/pause-for.js'
import type { LogSink } from '../observe/log-sink.js'
import type { JobRecords } from './job-records.js'
import type { ListedResult } from './listed-result.js'
import type { OwnedJob } from './owned-job.js'
import { splitBySize } from './split-by-size.js'

/** Minimum time between two segments of a job, ms. Each segment costs a write, and callers poll about twice a second. */
const STORE_PERIOD = 400
/** Delay before the next write after a failed one, ms. */
const RETRY_DELAY = 300
/** Maximum bytes of results in one segment, as stored: the store refuses values over 1 MB each time. */
const SEGMENT_BYTES = 500_000

interface ResultWriterOptions {
  readonly records: JobRecords
  readonly clock: Clock
  readonly log: LogSink
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

  /** Adds stored results of the job that are missing here; returns false where the store fails. */
  async readNew (job: OwnedJob): Promise<boolean> {
    const from = job.segmentCount
    const segments = await this.options.records.readSegments(job.id, from)
    if (segments.err) return false
    segments.val.forEach((results, i) => this.addSegment(job, from + i, results))
    return true
  }

  private async storeSegment (job: OwnedJob): Promise<boolean> {
    const { records, log } = this.options
    const [results = []] = splitBySize(job.pending, result => Buffer.byteLength(JSON.stringify(result)), SEGMENT_BYTES)
    const { segmentCount } = job
    const created = await records.createSegment(job.id, segmentCount, results)
    if (created.ok) this.addSegment(job, segmentCount, results)
    else if (created.val.type === 'conflict') return await this.addStoredSegment(job, segmentCount)
    else log.write('warn', 'jobs', 'could not store results, will retry', { job: job.id, error: created.val.type, waiting: job.pending.length })
    return created.ok
  }

  /** Reads a segment that exists already: created by another daemon, or by this one in a write whose reply was lost. */
  private async addStoredSegment (job: OwnedJob, segment: number): Promise<boolean> {
    const read = await this.options.records.readSegment(job.id, segment)
    if (read.ok) this.addSegment(job, segment, read.val)
    else this.options.log.write('warn', 'jobs', 'could not read results that are stored already, will retry', { job: job.id, segment, error: read.val.type, waiting: job.pending.length })
    return read.ok
  }

  private addSegment (job: OwnedJob, segment: number, results: readonly ListedResult[]): void {
    job.addSegment(segment, results)
    if (this.options.isOwned(job)) this.options.onStored(job)
  }
}
