import { inject, Lifecycle, scoped } from 'tsyringe'
import { Err } from 'ts-results'
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
 * Time between two checks, and until the next one after a failure, ms. A period, the age of a leader's read and the timeout of a call to an
 * unresponsive leader together stay below the age up to which a read lets items start (`MAX_READ_AGE` of `OwnedJob`).
 */
const CHECK_PERIOD = 1_100
const RETRY_DELAY = 300
/** After this long without a successful read, ms, a job may have been ended and removed from the store meanwhile. */
const MAX_READ_GAP = 10_000

type Lookup = Awaited<ReturnType<EndedJobLookup['find']>>

/**
 * Checks periodically whether the jobs that this daemon owns have been ended by their callers or taken over by other daemons. Messages between daemons make an owner stop
 * sooner but don't suffice: the daemon that acknowledges the end may not know the job or all of its owners, and a message may be lost. An owner
 * therefore starts items only while its own read of the store is recent (`OwnedJob.mayStart`).
 */
@scoped(Lifecycle.ContainerScoped)
export class EndedJobWatch implements Part {
  private checking = false
  private failing = false
  private cancel = (): void => {}
  private cancelRetry = (): void => {}

  constructor (
    @inject(JobOwner) private readonly owner: Pick<JobOwner, 'list' | 'end' | 'forget' | 'applyRecordedOwners'>,
    @inject(JobRecords) private readonly records: Pick<JobRecords, 'hasItems'>,
    @inject(EndedJobLookup) private readonly lookup: Pick<EndedJobLookup, 'find'>,
    @inject(PauseWatch) private readonly pauses: PauseWatch,
    @inject(Metrics) metrics: Metrics,
    @inject(tokens.routedSettings) private readonly routed: Pick<RoutedSettings, 'resultKeep'>,
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
    this.cancelRetry()
  }

  private async check (): Promise<void> {
    this.pauses.check()
    const jobs = this.listOpen()
    if (this.checking || jobs.length === 0) return
    this.checking = true
    const { count } = this.pauses
    const found = await this.find(jobs)
    this.pauses.check()
    this.checking = false
    if (count === this.pauses.count) this.applyRead(jobs, found)
    else await this.check()
  }

  /** Looks the ends up. An exception counts as a failed look-up, so that further ones are made. */
  private async find (jobs: readonly OwnedJob[]): Promise<Lookup> {
    try {
      return await this.lookup.find(jobs.map(({ id }) => id))
    } catch (error) {
      return Err({ type: 'invalid', reason: String(error) })
    }
  }

  private applyRead (jobs: readonly OwnedJob[], found: Lookup): void {
    if (found.err) return this.recordFailure(jobs, found.val)
    this.failing = false
    for (const job of jobs) {
      if (this.mayBeRemoved(job)) void this.confirmStored(job, found.val.readAt)
      else job.lastRead = { seen: Math.max(found.val.readAt, job.lastRead.seen ?? -Infinity), unreachable: false }
    }
    for (const [id, processes] of Object.entries(found.val.owners)) this.owner.applyRecordedOwners(id, processes)
    for (const id of found.val.ended) this.owner.end(id)
  }

  private recordFailure (jobs: readonly OwnedJob[], { type }: StoreError): void {
    if (!this.failing) this.log.write('warn', 'jobs', 'could not look up whether jobs have ended', { error: type, jobs: jobs.length, age: Math.round(this.findReadAge()) })
    this.failing = true
    for (const job of jobs) job.lastRead = { ...job.lastRead, unreachable: type === 'unavailable' }
    this.cancelRetry()
    this.cancelRetry = this.clock.after(RETRY_DELAY, () => { void this.check() })
  }

  /** Whether the job may have been ended and then removed from the store since the last read. */
  private mayBeRemoved ({ header: { submittedAt }, lastRead: { seen = -Infinity } }: OwnedJob): boolean {
    return this.clock.date() - submittedAt > this.routed.resultKeep && this.clock.now() - seen > MAX_READ_GAP
  }

  /** Removal deletes a job's items before its end: a job without a stored end whose items still exist has not been ended. */
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

  /** Returns the age of the oldest read, ms, or of its job after a pause; 0 without open jobs. */
  private findReadAge (): number {
    const now = this.clock.now()
    return Math.max(0, ...this.listOpen().map(({ lastRead, acceptedAt }) => now - (lastRead.seen ?? acceptedAt)))
  }
}

partRegistry.register({ name: 'end watch', part: EndedJobWatch, needs: ['job owner', 'end lookup', 'pause watch'] })
