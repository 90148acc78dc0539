import { inject, Lifecycle, scoped } from 'tsyringe'
import { rankOwners } from '../coordination/rank-owners.js'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { pauseFor } from '../kernel/pause-for.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import { Members } from '../peers/members.js'
import { JobRegistry } from './registry/job-registry.js'
import { JobOwner } from './job-owner.js'
import { JobRecords } from './job-records.js'
import type { KnownJob } from './registry/known-job.js'
import { readKnownJob } from './registry/read-known-job.js'
import type { UnownedJob } from './unowned-job.js'
import { UnownedJobs } from './unowned-jobs.js'

const CHECK_PERIOD = 500 // ms
/** Delay before reading the stored headers again after a failure, ms. */
const RETRY_DELAY = 300
/** How long after its start a daemon without any known members assumes that it is the only one, ms. */
const ALONE_AFTER = 3_000
/** Delay before another attempt to take over a job that could not be read, ms: the store is unavailable, or the items were never stored. */
const ADOPT_RETRY_DELAY = 1_000
/**
 * How long a daemon waits before it takes a job over from a process that isn't among its members yet, ms. After a restart of the fleet,
 * daemons that have just started find jobs in the store before they know all processes that run.
 */
const UNKNOWN_OWNER_WAIT = 5_000
/** Number of jobs that are taken over concurrently. */
const MAX_CONCURRENT = 2
/** Time between two publications of jobs without an owner, ms. */
const PUBLISH_PERIOD = 1_000

/** Finds jobs whose owner process has ended, and takes over those for which this daemon ranks first. */
@scoped(Lifecycle.ContainerScoped)
export class JobAdoption implements Part {
  private readonly startedAt: number
  /** By job that could not be taken over: when to retry, monotonic ms. */
  private readonly retryAt = new Map<string, number>()
  /** Processes that were alive at the last check, each as the daemon's name and the start of its process. */
  private aliveProcesses: ReadonlySet<string> = new Set()
  private publishedAt = -Infinity
  private adopting = false
  private cancel = (): void => {}

  constructor (
    @inject(JobOwner) private readonly owner: JobOwner,
    @inject(JobRegistry) private readonly registry: JobRegistry,
    @inject(JobRecords) private readonly records: JobRecords,
    @inject(UnownedJobs) private readonly unowned: UnownedJobs,
    @inject(Members) private readonly members: Members,
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(tokens.clock) private readonly clock: Clock
  ) {
    this.startedAt = clock.now()
  }

  async start (): Promise<void> {
    this.cancel = this.clock.every(CHECK_PERIOD, () => this.check())
    void this.loadHeaders()
  }

  async drain (): Promise<void> {
    this.cancel()
  }

  /** Loads jobs that only the store holds: from before a restart of the whole fleet, or of a daemon that ended before it published them. */
  private async loadHeaders (): Promise<void> {
    for (;;) {
      const headers = await this.records.listHeaders()
      if (headers.ok) {
        for (const [id, header] of headers.val) this.registry.addIfAbsent(readKnownJob(id, header, { stored: false }))
        return this.check()
      }
      await pauseFor(this.clock, RETRY_DELAY)
    }
  }

  private check (): void {
    const owners = this.members.owners()
    const names = owners.length > 0 ? owners : this.clock.now() > this.startedAt + ALONE_AFTER ? [this.settings.instance] : []
    this.checkEndedProcesses(names)
    const orphans = this.unowned.update().filter(({ reason }) => reason !== 'not held')
    void this.adoptAll(orphans.filter(orphan => this.isAbandoned(orphan) && rankOwners(orphan.job.id, names)[0] === this.settings.instance).map(({ job }) => job))
    this.publishOrphans(orphans.map(({ job }) => job))
  }

  /** Whether the job's owner is known to have ended or has stayed unknown for too long. */
  private isAbandoned ({ reason, since }: UnownedJob): boolean {
    return reason !== 'unknown' || this.clock.now() >= since + UNKNOWN_OWNER_WAIT
  }

  /**
   * Takes jobs over a few at a time, the newest first. After a restart of the whole fleet most jobs are finished or overdue, and reading all of
   * them at once would delay the first online requests of a daemon that has just started.
   */
  private async adoptAll (jobs: readonly KnownJob[]): Promise<void> {
    if (this.adopting) return
    this.adopting = true
    const left = [...jobs].sort((a, b) => a.submittedAt - b.submittedAt)
    const adoptNext = async (): Promise<void> => {
      for (let job = left.pop(); job !== undefined; job = left.pop()) await this.adopt(job.id)
    }
    await Promise.all(Array.from({ length: MAX_CONCURRENT }, adoptNext))
    this.adopting = false
  }

  private async adopt (id: string): Promise<void> {
    if (this.clock.now() < (this.retryAt.get(id) ?? 0)) return
    const adopted = await this.owner.adopt(id)
    if (adopted.err) this.retryAt.set(id, this.clock.now() + ADOPT_RETRY_DELAY)
    else this.retryAt.delete(id)
  }

  /**
   * Reloads the stored headers after another daemon's process has ended: it may have confirmed a job to its caller without having published it.
   * Only the daemon that ranks first for the ended process does so.
   */
  private checkEndedProcesses (names: readonly string[]): void {
    const alive = new Set(this.members.all().filter(({ state }) => state !== 'leaving').map(({ instance, run }) => `${instance.name} ${run}`))
    const ended = [...this.aliveProcesses].filter(id => !alive.has(id))
    this.aliveProcesses = alive
    if (ended.some(id => rankOwners(id, names)[0] === this.settings.instance)) void this.loadHeaders()
  }

  /** Publishes jobs without an owner, because the daemon that should take one over may not know it. */
  private publishOrphans (orphans: readonly KnownJob[]): void {
    if (orphans.length === 0 || this.clock.now() < this.publishedAt + PUBLISH_PERIOD) return
    this.publishedAt = this.clock.now()
    for (const { id } of orphans) this.registry.publishSeen(id)
  }
}

partRegistry.register({ name: 'job adoption', part: JobAdoption, needs: ['job owner', 'members'] })
