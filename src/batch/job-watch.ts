import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { PauseWatch } from '../kernel/pause-watch.js'
import { tokens } from '../kernel/tokens.js'
import { CancelledIndex } from './cancelled-index.js'
import type { Job } from './job.js'
import type { LastRead } from '../coordination/versions/last-read.js'
import { JobStore } from './job-store.js'
import { mayStart } from '../coordination/claims/may-start.js'

/** ms between checks of all jobs. */
const READ_PERIOD = 2_000

/** Checks whether the jobs of held chunks are still in progress, and notifies listeners when one no longer is. */
@scoped(Lifecycle.ContainerScoped)
export class JobWatch implements Part {
  private readonly lastReads = new Map<string, LastRead>()
  private readonly listeners = new Set<(job: string) => void>()
  private cancelTimer = (): void => {}

  constructor (
    @inject(JobStore) private readonly jobs: JobStore,
    @inject(CancelledIndex) private readonly cancelled: CancelledIndex,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(PauseWatch) private readonly pauses: PauseWatch
  ) {
    pauses.subscribe(() => {
      for (const job of [...this.lastReads.keys()]) {
        this.lastReads.set(job, { unreachable: false })
        void this.check(job)
      }
    })
  }

  async start (): Promise<void> {
    this.cancelTimer = this.clock.every(READ_PERIOD, () => { void this.checkAll() })
  }

  async stop (): Promise<void> {
    this.cancelTimer()
  }

  /** Calls `listener` with each job that is no longer in progress. */
  subscribe (listener: (job: string) => void): void {
    this.listeners.add(listener)
  }

  remove (job: string): void {
    this.lastReads.delete(job)
  }

  isWatching (job: string): boolean {
    return this.lastReads.has(job)
  }

  /** Returns whether items of the job may start now. */
  mayStart (job: string): boolean {
    this.pauses.check()
    const lastRead = this.lastReads.get(job)
    return lastRead !== undefined && mayStart(lastRead, this.clock.now())
  }

  /**
   * Reads the job now, and checks it until it is removed; returns it if it is in progress. A read during which the
   * process was paused is repeated, because its result may predate the pause. Kept, and followed by a failed read, it
   * would look like the beginning of an outage, and items of a job cancelled meanwhile would start for another 60 s.
   */
  async check (job: string): Promise<Job | undefined> {
    const { count } = this.pauses
    const seen = this.clock.now()
    const read = await this.jobs.read(job, 'background')
    this.pauses.check()
    if (count !== this.pauses.count) return await this.check(job)
    if (read.err && read.val.type !== 'missing') {
      this.lastReads.set(job, { ...this.lastReads.get(job), unreachable: read.val.type === 'unavailable' })
      return undefined
    }
    if (read.ok && read.val.status === 'in_progress') {
      this.lastReads.set(job, { seen, unreachable: false })
      return read.val
    }
    this.lastReads.delete(job)
    for (const listener of this.listeners) listener(job)
    return undefined
  }

  /** Lists recent cancellations once for all jobs, and reads the jobs that are listed or whose state is unknown. */
  private async checkAll (): Promise<void> {
    this.pauses.check()
    if (this.lastReads.size === 0) return
    const seen = this.clock.now()
    const cancelled = await this.cancelled.list()
    this.pauses.check()
    for (const [job, lastRead] of [...this.lastReads]) {
      if (cancelled.err) this.lastReads.set(job, { ...lastRead, unreachable: cancelled.val.type === 'unavailable' })
      else if (cancelled.val.full || cancelled.val.jobs.has(job) || lastRead.seen === undefined) void this.check(job)
      else this.lastReads.set(job, { seen: Math.max(seen, lastRead.seen), unreachable: false })
    }
  }
}

partRegistry.register({ name: 'job watch', part: JobWatch, needs: ['pause watch'] })
