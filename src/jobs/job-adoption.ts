import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import type { LogSink } from '../observe/log-sink.js'
import { Members } from '../peers/members.js'
import type { StoreError } from '../store/store-error.js'
import { isAdoptionDue } from './is-adoption-due.js'
import { JobRegistry } from './registry/job-registry.js'
import { JobOwner } from './job-owner.js'
import { rankSuccessors } from './rank-successors.js'
import type { UnownedJob } from './unowned-job.js'
import { UnownedJobs } from './unowned-jobs.js'

const CHECK_PERIOD = 500 // ms
/** How long after its start a daemon without any known members assumes that it is the only one, ms. */
const ALONE_AFTER = 3_000
/** Delay before another attempt to take over a job that could not be read, ms: the store is unavailable, or the items were never stored. */
const UNAVAILABLE_DELAY = 1_000
const MISSING_DELAY = 4_000
/**
 * Further delay of a daemon for each one that ranks before it, ms, so that these take a job over first once the store is available again. For
 * items that were never stored the whole delay grows with the square of the rank: each daemon finds the same, and the first goes on looking.
 */
const RANK_DELAY = 4_000
/**
 * Rank from which a daemon tries any one of its jobs again at a time, and the delay between two attempts, ms. So the calls to a store that
 * refuses all daemons don't grow with the jobs, and a job waits no longer for the only daemon that the store serves, however late that ranks.
 */
const LATER_POSITION = 2
const LATER_DELAY = 9_000
/** Number of jobs that are taken over concurrently. */
const MAX_CONCURRENT = 2
/** Time between two publications of jobs without an owner, ms. */
const PUBLISH_PERIOD = 1_000

interface Adoption extends UnownedJob {
  /** Number of daemons that rank before this one for the job; -1 where this one doesn't rank. */
  readonly position: number
}

/**
 * Takes over jobs that no live daemon runs: those whose owner process has ended, by rank, and those that the registry attributes to this
 * process although it doesn't have them. The latter were stored by a write that was reported as failed, or released by a daemon that took
 * this one for their owner. One of these that it can't read is released, for a daemon that can.
 */
@scoped(Lifecycle.ContainerScoped)
export class JobAdoption implements Part {
  private readonly startedAt: number
  /** By job that could not be taken over: when to retry, monotonic ms. */
  private readonly retryAt = new Map<string, number>()
  /** When to try the next of the jobs for which this daemon ranks late, monotonic ms; -Infinity while none has failed since one succeeded. */
  private laterRetryAt = -Infinity
  /** The adoptions that are due, the next one first. */
  private due: Adoption[] = []
  private running = 0
  private publishedAt = -Infinity
  private cancel = (): void => {}

  constructor (
    @inject(JobOwner) private readonly owner: Pick<JobOwner, 'adopt' | 'find'>,
    @inject(JobRegistry) private readonly registry: Pick<JobRegistry, 'get' | 'publish' | 'publishSeen'>,
    @inject(UnownedJobs) private readonly unowned: Pick<UnownedJobs, 'update'>,
    @inject(Members) private readonly members: Pick<Members, 'owners' | 'all'>,
    @inject(tokens.settings) private readonly settings: Pick<Settings, 'instance'>,
    @inject(tokens.log) private readonly log: LogSink,
    @inject(tokens.clock) private readonly clock: Clock
  ) {
    this.startedAt = clock.now()
  }

  async start (): Promise<void> {
    this.cancel = this.clock.every(CHECK_PERIOD, () => this.check())
  }

  async drain (): Promise<void> {
    this.cancel()
  }

  private check (): void {
    const names = this.listCandidates()
    const members = this.members.all()
    const unowned = this.unowned.update().map(found => ({ ...found, position: rankSuccessors(found.job, names, members).indexOf(this.settings.instance) }))
    const now = this.clock.now()
    this.due = this.order(unowned.filter(({ reason, since, position }) => isAdoptionDue(reason, { age: now - since, position })))
    while (this.running < MAX_CONCURRENT && this.due.length > 0) void this.adoptDue()
    this.publishOrphans(unowned)
  }

  /**
   * Orders adoptions, the first ones in rank first and of these the newest. After a restart of the whole fleet most jobs are finished or overdue,
   * and reading all of them at once would delay the first online requests of a daemon that has just started. Those of a later rank begin with
   * the one tried least recently, and of these with the oldest, since the daemon before takes the newest over.
   */
  private order (adoptions: readonly Adoption[]): Adoption[] {
    const findTriedAt = ({ job: { id } }: Adoption): number => this.retryAt.get(id) ?? 0
    return [...adoptions].sort((a, b) => {
      const [isFirst, isOtherFirst] = [a.position <= 0, b.position <= 0]
      if (isFirst !== isOtherFirst) return isFirst ? -1 : 1
      return isFirst ? b.job.submittedAt - a.job.submittedAt : findTriedAt(a) - findTriedAt(b) || a.job.submittedAt - b.job.submittedAt
    })
  }

  private listCandidates (): readonly string[] {
    const owners = this.members.owners()
    if (owners.length > 0) return owners
    return this.clock.now() > this.startedAt + ALONE_AFTER ? [this.settings.instance] : []
  }

  /** Takes the due jobs over one by one, those included that fall due meanwhile. */
  private async adoptDue (): Promise<void> {
    this.running++
    try {
      for (let next = this.due.shift(); next !== undefined; next = this.due.shift()) await this.adopt(next)
    } finally {
      this.running--
    }
  }

  private async adopt (adoption: Adoption): Promise<void> {
    const { job: { id }, reason } = adoption
    const now = this.clock.now()
    if (now < Math.max(this.retryAt.get(id) ?? 0, isLater(adoption) ? this.laterRetryAt : 0)) return
    if (isLater(adoption) && this.laterRetryAt !== -Infinity) this.laterRetryAt = now + LATER_DELAY
    const adopted = await this.owner.adopt(id)
    if (adopted.ok) {
      this.retryAt.delete(id)
      this.laterRetryAt = -Infinity
      return
    }
    this.postpone(adoption, adopted.val.type)
    if (reason === 'not held' && adopted.val.type !== 'missing') this.release(id, adopted.val.type)
  }

  private postpone (adoption: Adoption, error: StoreError['type']): void {
    const { job: { id }, position } = adoption
    const rank = Math.max(0, position)
    const now = this.clock.now()
    if (error === 'missing') this.retryAt.set(id, now + MISSING_DELAY * (1 + rank) ** 2)
    else if (!isLater(adoption)) this.retryAt.set(id, now + UNAVAILABLE_DELAY + rank * RANK_DELAY)
    else {
      this.retryAt.set(id, now)
      this.laterRetryAt = now + LATER_DELAY
    }
  }

  /** Publishes a job that the registry attributes to this process as released by it: the others leave it to this one, which can't read it. */
  private release (id: string, error: StoreError['type']): void {
    const known = this.registry.get(id)
    if (known === undefined || known.owner !== this.settings.instance || this.owner.find(id) !== undefined) return
    this.log.write('info', 'jobs', 'released a job that could not be read', { job: id, error })
    this.registry.publish({ ...known, run: 0 })
  }

  /** Publishes jobs whose owner has ended, because the daemon that should take one over may not know it. */
  private publishOrphans (unowned: readonly UnownedJob[]): void {
    const orphans = unowned.filter(({ reason }) => reason !== 'not held')
    if (orphans.length === 0 || this.clock.now() < this.publishedAt + PUBLISH_PERIOD) return
    this.publishedAt = this.clock.now()
    for (const { job } of orphans) this.registry.publishSeen(job.id)
  }
}

/** Whether the daemon ranks late for a job that any of several daemons may take over. */
function isLater ({ reason, position }: Adoption): boolean {
  return reason !== 'not held' && position >= LATER_POSITION
}

partRegistry.register({ name: 'job adoption', part: JobAdoption, needs: ['job owner', 'members'] })
