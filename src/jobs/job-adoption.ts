import { inject, Lifecycle, scoped } from 'tsyringe'
import { rankOwners } from '../coordination/rank-owners.js'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { pauseFor } from '../kernel/pause-for.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import { Members } from '../peers/members.js'
import { JobRegistry } from './job-registry.js'
import { JobOwner } from './job-owner.js'
import { JobRecords } from './job-records.js'
import type { KnownJob } from './known-job.js'
import { readKnownJob } from './read-known-job.js'

const CHECK_PERIOD = 500
/** Between a failed read of the store's jobs and the next, ms. */
const RETRY = 300
/** After its start a daemon that hears nobody takes itself for alone, ms. */
const ALONE_AFTER = 3_000
/** Before a job that could not be read is tried again, ms: its store is away, or its items were never stored. */
const ADOPT_RETRY = 1_000
/** Jobs that are taken over at the same time. */
const MAX_CONCURRENT = 2
/** How often jobs that nobody owns are told of, ms. */
const PUBLISH_PERIOD = 1_000

/** Finds jobs whose owner has ended, and takes over those that fall to this daemon by rank. */
@scoped(Lifecycle.ContainerScoped)
export class JobAdoption implements Part {
  private readonly startedAt: number
  /** By job that could not be taken over: when to try again, monotonic ms. */
  private readonly retryAt = new Map<string, number>()
  /** Daemons that were alive at the last look, by name and life. */
  private aliveProcesses: ReadonlySet<string> = new Set()
  private publishedAt = -Infinity
  private adopting = false
  private cancel = (): void => {}

  constructor (
    @inject(JobOwner) private readonly owner: JobOwner,
    @inject(JobRegistry) private readonly registry: JobRegistry,
    @inject(JobRecords) private readonly records: JobRecords,
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

  /** Jobs of an earlier life of the fleet, or of a daemon that ended before its word of them was out, are known by the store alone. */
  private async loadHeaders (): Promise<void> {
    for (;;) {
      const headers = await this.records.listHeaders()
      if (headers.ok) {
        for (const [id, header] of headers.val) this.registry.addIfAbsent(readKnownJob(id, header, { stored: false }))
        return this.check()
      }
      await pauseFor(this.clock, RETRY)
    }
  }

  private check (): void {
    const owners = this.members.owners()
    const names = owners.length > 0 ? owners : this.clock.now() > this.startedAt + ALONE_AFTER ? [this.settings.instance] : []
    this.checkEndedProcesses(names)
    const orphans = this.registry.list().filter(job => !job.closed && this.owner.find(job.id) === undefined && !this.owner.isOwnerAlive(job))
    void this.adoptAll(orphans.filter(({ id }) => rankOwners(id, names)[0] === this.settings.instance))
    this.publishOrphans(orphans)
  }

  /**
   * A few at a time, the youngest first. After an end of all daemons most jobs are finished or late, and reading all of them at once kept a daemon
   * that had just started busy for a tenth of a second and more, in which its callers' first events came late.
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
    if (adopted.err) this.retryAt.set(id, this.clock.now() + ADOPT_RETRY)
    else this.retryAt.delete(id)
  }

  /**
   * A daemon may end right after it has accepted a job, before anybody has heard of it: its caller has the word that the job
   * is kept, and nobody runs it. One daemon reads the store after each such end.
   */
  private checkEndedProcesses (names: readonly string[]): void {
    const alive = new Set(this.members.all().filter(({ state }) => state !== 'leaving').map(({ instance, run }) => `${instance.name} ${run}`))
    const ended = [...this.aliveProcesses].filter(life => !alive.has(life))
    this.aliveProcesses = alive
    if (ended.some(life => rankOwners(life, names)[0] === this.settings.instance)) void this.loadHeaders()
  }

  /** Whoever is to take a job over may not know of it. */
  private publishOrphans (orphans: readonly KnownJob[]): void {
    if (orphans.length === 0 || this.clock.now() < this.publishedAt + PUBLISH_PERIOD) return
    this.publishedAt = this.clock.now()
    for (const job of orphans) this.registry.publishSeen(job)
  }
}

partRegistry.register({ name: 'job adoption', part: JobAdoption, needs: ['job owner', 'members'] })
