import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../kernel/clock.js'
import { tokens } from '../kernel/tokens.js'
import type { ObjectStore } from '../store/object-store.js'
import type { Chunk } from './chunks/chunk.js'
import { closeChunk } from './chunks/close-chunk.js'
import type { Counts } from './counts.js'
import { HoldingRecord } from './chunks/holding-record.js'
import type { Job } from './job.js'
import { JobOutcomes } from './job-outcomes.js'
import { JobStore } from './job-store.js'
import { listChunks } from './chunks/list-chunks.js'
import { WorkIndex } from './work-index.js'

/** ms for which holders of a cancelled job's chunks may still record results. */
const HOLDER_GRACE = 10_000

/**
 * Ends a cancelled job: closes every unfinished chunk, so that its counts are final and no holder that was paused or
 * disconnected can record in it, and adds the counts to the job. Unclaimed chunks are created closed, so that a claim
 * in progress fails. Several daemons may do this at the same time.
 */
@scoped(Lifecycle.ContainerScoped)
export class JobFinalizer {
  constructor (
    @inject(tokens.store) private readonly store: ObjectStore,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(JobStore) private readonly jobs: JobStore,
    @inject(WorkIndex) private readonly work: WorkIndex,
    @inject(HoldingRecord) private readonly holding: HoldingRecord,
    @inject(JobOutcomes) private readonly outcomes: JobOutcomes
  ) {}

  /** Makes one pass; returns whether the job has ended. */
  async finalize (job: Job): Promise<boolean> {
    const closed = new Map<number, Counts>()
    for (const { n, items } of listChunks(job.services)) {
      if (job.finished[n] !== undefined) continue
      const counts = await this.close(job, n, items)
      if (counts !== undefined) closed.set(n, counts)
    }
    const updated = await this.jobs.update(job.id, job => this.outcomes.apply(job, closed))
    if (updated.err || updated.val.ended === undefined) return false
    this.outcomes.count(updated.val)
    for (const { service } of job.services) {
      const removed = await this.work.remove({ job: job.id, service, due: job.due })
      if (removed.err) return false
    }
    return true
  }

  /** Returns the final counts of the chunk, or undefined if it has to be tried again. */
  private async close (job: Job, n: number, items: number): Promise<Counts | undefined> {
    const name = `${job.id}.${n}`
    const read = await this.store.get<Chunk>('chunk', name)
    if (read.err && read.val.type !== 'missing') return undefined
    const chunk: Chunk = read.ok ? read.val.value : { results: {}, parts: [], started: [] }
    if (chunk.closed === undefined && chunk.holder !== undefined && this.clock.date() - (job.cancelled ?? 0) < HOLDER_GRACE) return undefined
    const next = closeChunk(chunk, { items, by: this.holding.incarnation })
    if (next !== chunk && (await this.store.put('chunk', name, next, read.ok ? read.val.version : 0)).err) return undefined
    const { completed, failed, cancelled } = next.closed!
    return { completed, failed, cancelled }
  }
}
