import { inject, Lifecycle, scoped } from 'tsyringe'
import type { RoutedSettings } from '../entry/routed-settings.js'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { PauseWatch } from '../kernel/pause-watch.js'
import { tokens } from '../kernel/tokens.js'
import type { LogSink } from '../observe/log-sink.js'
import { Metrics } from '../observe/metrics.js'
import type { StoreError } from '../store/store-error.js'
import { EndedJobLookup } from './ended-job-lookup.js'
import { JobRecords } from './job-records.js'
import { JobOwner } from './job-owner.js'
import type { OwnedJob } from './owned-job.js'

/**
 * How often it is looked whether owned jobs have ended, and how soon again after a look that failed, ms. A period, the age of what a
 * hub answers and the wait for one that is silent together stay below the age at which a look no longer counts.
 */
const CHECK_PERIOD = 1_100
const RETRY = 300
/** Without a look for longer than this, a job may have been ended and removed meanwhile, ms. */
const MAX_READ_GAP = 10_000

/**
 * Looks in the store whether the jobs that this daemon owns have ended. Daemons tell each other of an end, which makes it fast, but the one that
 * acknowledges it may not know of the job, or of all its owners, and what it tells may be lost: an owner runs items only as long
 * as its own look is fresh (`OwnedJob.mayStart`).
 */
@scoped(Lifecycle.ContainerScoped)
export class EndedJobWatch implements Part {
  private checking = false
  private failing = false
  private cancel = (): void => {}

  constructor (
    @inject(JobOwner) private readonly owner: Pick<JobOwner, 'list' | 'end' | 'forget'>,
    @inject(JobRecords) private readonly records: Pick<JobRecords, 'hasItems'>,
    @inject(EndedJobLookup) private readonly lookup: Pick<EndedJobLookup, 'find'>,
    @inject(PauseWatch) private readonly pauses: PauseWatch,
    @inject(Metrics) metrics: Metrics,
    @inject(tokens.routed) private readonly routed: Pick<RoutedSettings, 'resultKeep'>,
    @inject(tokens.log) private readonly log: LogSink,
    @inject(tokens.clock) private readonly clock: Clock
  ) {
    metrics.gauge('job_end_look_age_ms', () => this.findReadAge())
  }

  async start (): Promise<void> {
    this.pauses.subscribe(() => {
      for (const job of this.listOpen()) job.lastRead = { unreachable: false }
      void this.check()
    })
    this.cancel = this.clock.every(CHECK_PERIOD, () => { void this.check() })
  }

  async stop (): Promise<void> {
    this.cancel()
  }

  private async check (): Promise<void> {
    this.pauses.check()
    const jobs = this.listOpen()
    if (this.checking || jobs.length === 0) return
    this.checking = true
    const { count } = this.pauses
    const found = await this.lookup.find(jobs.map(({ id }) => id))
    this.pauses.check()
    this.checking = false
    if (count === this.pauses.count) this.applyRead(jobs, found)
    else await this.check()
  }

  private applyRead (jobs: readonly OwnedJob[], found: Awaited<ReturnType<EndedJobLookup['find']>>): void {
    if (found.err) return this.recordFailure(jobs, found.val)
    this.failing = false
    for (const job of jobs) {
      if (this.mayBeRemoved(job)) void this.confirmStored(job, found.val.readAt)
      else job.lastRead = { seen: Math.max(found.val.readAt, job.lastRead.seen ?? -Infinity), unreachable: false }
    }
    for (const id of found.val.ended) this.owner.end(id)
  }

  private recordFailure (jobs: readonly OwnedJob[], { type }: StoreError): void {
    if (!this.failing) this.log.write('warn', 'jobs', 'could not look up whether jobs have ended', { error: type, jobs: jobs.length, age: Math.round(this.findReadAge()) })
    this.failing = true
    for (const job of jobs) job.lastRead = { ...job.lastRead, unreachable: type === 'unavailable' }
    this.clock.after(RETRY, () => { void this.check() })
  }

  /** Whether the store may have kept the job's end, and removed it with the job, since the last look. */
  private mayBeRemoved ({ header: { submittedAt }, lastRead: { seen = -Infinity } }: OwnedJob): boolean {
    return this.clock.date() - submittedAt > this.routed.resultKeep && this.clock.now() - seen > MAX_READ_GAP
  }

  /** Items are removed before the end is: a job whose items are there after no end was found has not been ended. */
  private async confirmStored (job: OwnedJob, readAt: number): Promise<void> {
    const { count } = this.pauses
    const stored = await this.records.hasItems(job.id)
    this.pauses.check()
    if (stored.err || count !== this.pauses.count) return
    if (stored.val) job.lastRead = { seen: readAt, unreachable: false }
    else this.owner.forget(job.id)
  }

  private listOpen (): readonly OwnedJob[] {
    return this.owner.list().filter(({ ended, isDone }) => !ended && !isDone)
  }

  /** Age of the oldest look, ms, or of its job where a pause was since; 0 where no job is open. */
  private findReadAge (): number {
    const now = this.clock.now()
    return Math.max(0, ...this.listOpen().map(({ lastRead, acceptedAt }) => now - (lastRead.seen ?? acceptedAt)))
  }
}

partRegistry.register({ name: 'end watch', part: EndedJobWatch, needs: ['job owner', 'end lookup', 'pause watch'] })
