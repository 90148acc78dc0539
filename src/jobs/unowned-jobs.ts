import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../kernel/clock.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import type { LogSink } from '../observe/log-sink.js'
import { Metrics } from '../observe/metrics.js'
import { Members } from '../peers/members.js'
import { findOwnerStatus } from './find-owner-status.js'
import { JobOwner } from './job-owner.js'
import { JobRegistry } from './registry/job-registry.js'
import type { KnownJob } from './registry/known-job.js'
import type { UnownedJob } from './unowned-job.js'
import type { UnownedReason } from './unowned-reason.js'

/** Age from which a job without an owner is logged, ms. */
const LOG_AFTER = 2_000
const MS_PER_S = 1_000

/** Finds the open jobs of the registry that no live daemon runs, and since when. */
@scoped(Lifecycle.ContainerScoped)
export class UnownedJobs {
  private found: ReadonlyMap<string, UnownedJob> = new Map()
  private logged: ReadonlySet<string> = new Set()

  constructor (
    @inject(JobOwner) private readonly owner: Pick<JobOwner, 'find' | 'isOwnerAlive'>,
    @inject(JobRegistry) private readonly registry: Pick<JobRegistry, 'list'>,
    @inject(Members) private readonly members: Pick<Members, 'run' | 'findRun'>,
    @inject(Metrics) metrics: Metrics,
    @inject(tokens.settings) private readonly settings: Pick<Settings, 'instance'>,
    @inject(tokens.log) private readonly log: LogSink,
    @inject(tokens.clock) private readonly clock: Clock
  ) {
    metrics.gauge('jobs_without_owner', () => this.found.size)
    metrics.gauge('jobs_unowned_seconds', () => this.findLongest() / MS_PER_S)
  }

  /** Updates and returns the jobs without an owner. */
  update (): readonly UnownedJob[] {
    const now = this.clock.now()
    const found = new Map<string, UnownedJob>()
    for (const job of this.registry.list()) {
      const reason = this.findReason(job)
      if (reason !== undefined) found.set(job.id, { job, reason, since: this.findStart(job.id, reason) ?? now })
    }
    this.found = found
    this.writeLog(now)
    return [...found.values()]
  }

  /**
   * Returns since when the job has had no owner, undefined if it had one before. What is known of an owner that isn't alive may change to and
   * fro, while a job that this process doesn't hold may just have been given away.
   */
  private findStart (id: string, reason: UnownedReason): number | undefined {
    const before = this.found.get(id)
    return (before?.reason === 'not held') === (reason === 'not held') ? before?.since : undefined
  }

  private findReason (job: KnownJob): UnownedReason | undefined {
    if (job.closed || this.owner.find(job.id) !== undefined) return undefined
    if (job.owner === this.settings.instance && job.run === this.members.run) return 'not held'
    return this.owner.isOwnerAlive(job) ? undefined : findOwnerStatus(job, this.members.findRun(job.owner))
  }

  /** Writes one line for each job that stays without an owner. */
  private writeLog (now: number): void {
    const due = [...this.found.values()].filter(({ since }) => now >= since + LOG_AFTER)
    for (const { job, reason, since } of due) {
      if (this.logged.has(job.id)) continue
      this.log.write('warn', 'jobs', 'found a job without an owner', { job: job.id, reason, owner: job.owner, run: job.run, age: Math.round(now - since) })
    }
    this.logged = new Set(due.map(({ job }) => job.id))
  }

  private findLongest (): number {
    const now = this.clock.now()
    return Math.max(0, ...[...this.found.values()].map(({ since }) => now - since))
  }
}
