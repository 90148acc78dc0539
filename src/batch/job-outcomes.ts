import { inject, Lifecycle, scoped } from 'tsyringe'
import { Account } from '../admission/account.js'
import type { Clock } from '../kernel/clock.js'
import { tokens } from '../kernel/tokens.js'
import { Timeline } from '../observe/timeline.js'
import type { Counts } from './counts.js'
import { finishChunks } from './finish-chunks.js'
import { HoldingRecord } from './holding-record.js'
import type { Job } from './job.js'

/** Jobs that are remembered as counted; a job is met again only until it is out of every listing of work. */
const MAX_COUNTED = 10_000

/**
 * Counts each job that has ended once for the account, by its caller and first service: on time, late or cancelled.
 * The write that ends a job names the run that made it, and only that run counts it, once. Without the name a lost
 * reply leaves open whose write it was, and the job is counted by nobody or by two.
 */
@scoped(Lifecycle.ContainerScoped)
export class JobOutcomes {
  private readonly counted = new Set<string>()

  constructor (
    @inject(Account) private readonly account: Account,
    @inject(HoldingRecord) private readonly holding: HoldingRecord,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(Timeline) private readonly timeline: Timeline
  ) {}

  /** The job with the counts of closed chunks; where it ends with them, by this run. */
  apply (job: Job, closed: ReadonlyMap<number, Counts>): Job {
    const next = finishChunks(job, closed, this.clock.date())
    return next.ended === undefined || job.ended !== undefined ? next : { ...next, endedBy: this.holding.incarnation }
  }

  /** To be called with a job as the platform has it. */
  count ({ id, caller, services, status, due, ended, endedBy }: Job): void {
    const { instance, started } = this.holding.incarnation
    if (ended === undefined || endedBy?.instance !== instance || endedBy.started !== started || this.counted.has(id)) return
    this.counted.add(id)
    if (this.counted.size > MAX_COUNTED) this.counted.delete(this.counted.values().next().value!)
    const outcome = status === 'cancelled' ? 'cancelled' : ended > due ? 'late' : 'on time'
    this.timeline.record({ part: 'batch', what: status, job: id, detail: `${outcome}, due ${new Date(due).toISOString()}` })
    this.account.count(caller, services[0]?.service ?? '', 'batch', { type: 'job', outcome })
  }
}
