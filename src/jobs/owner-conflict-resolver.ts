import { inject, Lifecycle, scoped } from 'tsyringe'
import { rankOwners } from '../coordination/rank-owners.js'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { PauseWatch } from '../kernel/pause-watch.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import type { LogSink } from '../observe/log-sink.js'
import { JobRegistry } from './registry/job-registry.js'
import { isReleased } from './is-released.js'
import { JobOwner } from './job-owner.js'
import type { OwnedJob } from './owned-job.js'
import type { RegistryEntry } from './registry/registry-entry.js'

/** How long after the last sign of a second owner a job counts as contested, ms: several publications and their replies. */
const CONTESTED_TIME = 3_000
/** Time between two publications of a contested job, ms. */
const PUBLISH_PERIOD = 500

/**
 * Detects that two daemons own the same job and makes one of them release it. An owner that was paused or partitioned resumes while another
 * daemon has taken its jobs over: both would run the same items, and each would list results that the other lacks. So an owner publishes its
 * jobs after a pause, and when their former owner is back, until no other owner has been seen for a while. The daemon that ranks first keeps
 * the job. Until then each owner reads the store before it answers callers.
 */
@scoped(Lifecycle.ContainerScoped)
export class OwnerConflictResolver implements Part {
  /** Jobs whose former owner was alive at the last check. */
  private readonly formerOwnerAlive = new WeakSet<OwnedJob>()
  private cancel = (): void => {}

  constructor (
    @inject(JobOwner) private readonly owner: JobOwner,
    @inject(JobRegistry) private readonly registry: JobRegistry,
    @inject(PauseWatch) private readonly pauses: PauseWatch,
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(tokens.log) private readonly log: LogSink,
    @inject(tokens.clock) private readonly clock: Clock
  ) {}

  async start (): Promise<void> {
    this.pauses.subscribe(() => { for (const job of this.owner.list()) this.markContested(job) })
    this.registry.subscribe(received => this.handleUpdate(received))
    this.cancel = this.clock.every(PUBLISH_PERIOD, () => this.check())
  }

  async stop (): Promise<void> {
    this.cancel()
  }

  private check (): void {
    this.pauses.check()
    const now = this.clock.now()
    for (const job of this.owner.list()) {
      if (this.hasFormerOwnerReturned(job)) this.markContested(job)
      if (now < job.contestedUntil) this.registry.publish(this.owner.buildKnownJob(job))
      else this.owner.publishIfChanged(job)
    }
  }

  private hasFormerOwnerReturned (job: OwnedJob): boolean {
    const wasAlive = this.formerOwnerAlive.has(job)
    const isAlive = job.formerOwner !== undefined && this.owner.isOwnerAlive(job.formerOwner)
    if (isAlive) this.formerOwnerAlive.add(job)
    else this.formerOwnerAlive.delete(job)
    return isAlive && !wasAlive
  }

  /** Marks a job as contested unless all of its results are stored: such a job can't be behind another owner. */
  private markContested (job: OwnedJob): void {
    if (job.isDone) return
    const now = this.clock.now()
    if (now >= job.contestedUntil) void this.owner.checkEnded(job.id)
    job.contestedUntil = now + CONTESTED_TIME
  }

  /**
   * Handles a publication of a job that this daemon owns. If the sender claims it as well, both determine by rank which one keeps it. If the
   * published owner is absent or has ended, this daemon publishes itself as the owner. An outdated publication only makes the job
   * contested: its owner may no longer have the job, and publishes a later version if it has.
   */
  private handleUpdate (received: RegistryEntry): void {
    const { instance } = this.settings
    const job = this.owner.find(received.id)
    if (job === undefined) return
    const isAlive = this.owner.isOwnerAlive(received)
    if (received.owner === instance && isAlive) return
    if (!isReleased(received) && received.owner !== instance) this.markContested(job)
    if (!isAlive) return this.registry.publish(this.owner.buildKnownJob(job))
    if (received.version < (this.registry.entries.get(received.id)?.version ?? 0)) return
    if (rankOwners(received.id, [instance, received.owner])[0] === instance) return
    this.log.write('info', 'jobs', 'gave a job to its other owner', { job: job.id, to: received.owner, results: job.readPage(0).next, of: job.header.total })
    this.owner.releaseTo(job, received.owner)
  }
}

partRegistry.register({ name: 'job contest', part: OwnerConflictResolver, needs: ['job owner', 'pause watch'] })
