import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../../kernel/clock.js'
import { tokens } from '../../kernel/tokens.js'
import { Metrics } from '../../observe/metrics.js'
import { Timeline } from '../../observe/timeline/timeline.js'
import type { BatchOutcome } from './batch-outcome.js'
import type { BatchWork } from './batch-work.js'
import { RecentRuns } from './recent-runs.js'
import { ServerWatch } from '../server-watch.js'

/** Reports the outcome of each run to the batch source, exactly once. */
@scoped(Lifecycle.ContainerScoped)
export class RunSettler {
  readonly recent = new RecentRuns()

  constructor (
    @inject(ServerWatch) private readonly watch: ServerWatch,
    @inject(Metrics) private readonly metrics: Metrics,
    @inject(Timeline) private readonly timeline: Timeline,
    @inject(tokens.clock) private readonly clock: Clock
  ) {}

  /** `preempted` says whether this daemon stopped the run. */
  settle (work: BatchWork, server: string, outcome: BatchOutcome, preempted: boolean): void {
    if (outcome.type === 'finished') return work.finish(outcome.result)
    // A server whose process has ended refuses connections at once, and would fail item after item until its next
    // health checks: a job would end with items that are failed by a server that ran none of them.
    if (outcome.type === 'unreachable') this.watch.markDown(server)
    if (outcome.type !== 'stopped') return this.settleUnsent(work, server)
    const why = work.signal.aborted ? 'aborted' : preempted ? 'gave way' : 'server failed'
    if (why === 'gave way') {
      this.recent.record(work.id, server, this.clock.now())
      this.metrics.count('batch_preemptions_total')
    }
    this.timeline.record({ part: 'ownership', what: `batch item ${why}`, request: work.id, job: work.job, server })
    work.giveBack(why, { ran: outcome.ran, tokens: outcome.tokens.length > 0 ? outcome.tokens : undefined, server })
  }

  /** Gives back an item that was never sent. */
  private settleUnsent (work: BatchWork, server: string): void {
    work.giveBack(work.signal.aborted ? 'aborted' : 'gave way', { ran: false, tokens: work.resumeFrom, server })
  }
}
