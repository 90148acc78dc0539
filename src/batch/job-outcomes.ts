import { inject, Lifecycle, scoped } from 'tsyringe'
import { Account } from '../admission/account/account.js'
import type { Clock } from '../kernel/clock.js'
import { tokens } from '../kernel/tokens.js'
import { Timeline } from '../observe/timeline/timeline.js'
import type { Counts } from './counts.js'
import { finishChunks } from './chunks/finish-chunks.js'
import { HoldingRecord } from './chunks/holding-record.js'
import type { Job } from './job.js'

/** Limits the set of counted jobs. A job is read again only until it is out of the work index. */
const MAX_COUNTED = 10_000

/**
 * Counts each ended job once for the account, by its caller and first service: on time, late or cancelled. The write
 * that ends a job stores the daemon process that made it, and only that process counts the job. Otherwise a lost reply
 * would leave open whose write took effect, and the job could be counted twice or not at all.
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

  /**
   * Returns the job with the counts of closed chunks added. If the job ends with them, `endedBy` is set to this process.
   */
  apply (job: Job, closed: ReadonlyMap<number, Counts>): Job {
    const next = finishChunks(job, closed, this.clock.date())
    return next.ended === undefined || job.ended !== undefined ? next : { ...next, endedBy: this.holding.incarnation }
  }

  /** Counts the job if this process ended it. Expects the job as it is stored. */
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
