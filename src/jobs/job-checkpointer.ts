import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { tokens } from '../kernel/tokens.js'
import type { LogSink } from '../observe/log-sink.js'
import { countUnsavedEvents } from './count-unsaved-events.js'
import type { ItemProgress } from './item-progress.js'
import { JobOwner } from './job-owner.js'
import { JobRecords } from './job-records.js'
import type { OwnedJob } from './owned-job.js'
import { splitProgress } from './split-progress.js'

const CHECK_PERIOD = 500 // ms
/** Events since the last checkpoint of a job that cause the next one. A lower value loses less and writes more often. */
const CHECKPOINT_EVENTS = 500
/** Minimum time between two checkpoints of a job, ms, which bounds the writes however many of its items run. */
const CHECKPOINT_PERIOD = 2_000

interface Checkpoint {
  readonly version: number
  readonly progress: readonly ItemProgress[]
  /** When the last write began, monotonic ms. */
  readonly at: number
  readonly writing: boolean
}

const NO_CHECKPOINT: Checkpoint = { version: 0, progress: [], at: -Infinity, writing: false }

/**
 * Writes checkpoints of the progress of this daemon's jobs to the store. When all daemons end at once no other daemon can receive the progress,
 * and every item in flight would otherwise start from its beginning.
 */
@scoped(Lifecycle.ContainerScoped)
export class JobCheckpointer implements Part {
  private readonly checkpoints = new WeakMap<OwnedJob, Checkpoint>()
  private cancel = (): void => {}

  constructor (
    @inject(JobOwner) private readonly owner: JobOwner,
    @inject(JobRecords) private readonly records: JobRecords,
    @inject(tokens.log) private readonly log: LogSink,
    @inject(tokens.clock) private readonly clock: Clock
  ) {}

  async start (): Promise<void> {
    this.cancel = this.clock.every(CHECK_PERIOD, () => { for (const job of this.owner.list()) void this.check(job) })
  }

  async drain (): Promise<void> {
    this.cancel()
  }

  private async check (job: OwnedJob): Promise<void> {
    const checkpoint = this.checkpoints.get(job) ?? NO_CHECKPOINT
    const now = this.clock.now()
    if (checkpoint.writing || now < checkpoint.at + CHECKPOINT_PERIOD || job.isDone || job.ended) return
    if (countUnsavedEvents(job.items, checkpoint.progress) < CHECKPOINT_EVENTS) return
    this.checkpoints.set(job, { ...checkpoint, at: now, writing: true })
    // Of more progress than one object holds only the first part is stored; the rest would run again.
    const [progress = []] = splitProgress(job.copyProgress())
    const written = await this.records.writeProgress(job.id, progress, checkpoint.version)
    if (written.ok) {
      this.checkpoints.set(job, { version: written.val, progress, at: now, writing: false })
      return
    }
    // Another owner has written a checkpoint; the next one replaces it without delay.
    const next = written.val.type === 'conflict' ? { version: written.val.version } : { at: now }
    this.checkpoints.set(job, { ...checkpoint, ...next, writing: false })
    this.log.write('info', 'jobs', 'could not store the progress of a job', { job: job.id, error: written.val.type })
  }
}

partRegistry.register({ name: 'job notes', part: JobCheckpointer, needs: ['job owner'] })
