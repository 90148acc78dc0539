import { inject, Lifecycle, scoped } from 'tsyringe'
import { rankOwners } from '../coordination/rank-owners.js'
import type { RoutedSettings } from '../entry/routed-settings.js'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import type { LogSink } from '../observe/log-sink.js'
import { Members } from '../peers/members.js'
import { JobRegistry } from './registry/job-registry.js'
import { JobOwner } from './job-owner.js'
import { JobRecords } from './job-records.js'
import type { KnownJob } from './registry/known-job.js'

const PERIOD = 10_000 // ms
/** Added to the retention time of results, ms: covers clock skew and the time between submission and acceptance. */
const CLOCK_MARGIN = 60_000

/** Removes jobs past their retention time, one at a time. A job is removed by its owner and by the daemon that ranks first for it. */
@scoped(Lifecycle.ContainerScoped)
export class JobCleaner implements Part {
  private busy = false
  private cancel = (): void => {}

  constructor (
    @inject(JobRegistry) private readonly registry: JobRegistry,
    @inject(JobOwner) private readonly owner: JobOwner,
    @inject(JobRecords) private readonly records: JobRecords,
    @inject(Members) private readonly members: Members,
    @inject(tokens.routedSettings) private readonly routed: Pick<RoutedSettings, 'resultKeep'>,
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(tokens.log) private readonly log: LogSink,
    @inject(tokens.clock) private readonly clock: Clock
  ) {}

  async start (): Promise<void> {
    this.cancel = this.clock.every(PERIOD, () => { void this.clean() })
  }

  async stop (): Promise<void> {
    this.cancel()
  }

  private async clean (): Promise<void> {
    if (this.busy) return
    this.busy = true
    const submittedBefore = this.clock.date() - this.routed.resultKeep - CLOCK_MARGIN
    const names = this.members.owners()
    for (const job of this.registry.list().filter(({ submittedAt }) => submittedAt < submittedBefore)) {
      const isOwner = this.owner.find(job.id) !== undefined || job.owner === this.settings.instance
      if (!isOwner && rankOwners(job.id, names)[0] !== this.settings.instance) continue
      if (job.closed || this.isAbandoned(job) || await this.isRemoved(job)) await this.remove(job.id)
    }
    this.busy = false
  }

  /** Whether no daemon runs a job whose items may never have been stored. A live owner may be running it without having published it since. */
  private isAbandoned (job: KnownJob): boolean {
    if (job.stored) return false
    return job.owner === this.settings.instance ? this.owner.find(job.id) === undefined : !this.owner.isOwnerAlive(job)
  }

  /** Whether an open job that no daemon runs is no longer stored. */
  private async isRemoved (job: KnownJob): Promise<boolean> {
    if (this.owner.find(job.id) !== undefined || this.owner.isOwnerAlive(job)) return false
    const header = await this.records.readHeader(job.id)
    return header.err && header.val.type === 'missing'
  }

  private async remove (id: string): Promise<void> {
    const removed = await this.records.remove(id)
    if (removed.err && removed.val.type !== 'missing') return this.log.write('warn', 'jobs', 'could not remove a job, will retry', { job: id, error: removed.val.type })
    this.owner.forget(id)
    this.log.write('info', 'jobs', 'removed a job', { job: id })
  }
}

partRegistry.register({ name: 'job cleaner', part: JobCleaner, needs: ['job owner', 'members'] })
