import { inject, Lifecycle, scoped } from 'tsyringe'
import { rankOwners } from '../coordination/rank-owners.js'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { pauseFor } from '../kernel/pause-for.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import type { LogSink } from '../observe/log-sink.js'
import { Members } from '../peers/members.js'
import { findSearchTurn } from './find-search-turn.js'
import type { JobHeader } from './job-header.js'
import { JobRecords } from './job-records.js'
import { JobRegistry } from './registry/job-registry.js'
import { readKnownJob } from './registry/read-known-job.js'

const CHECK_PERIOD = 500 // ms
/** Delay before reading the stored headers again after a failure, ms. */
const RETRY_DELAY = 300
/** Age from which a job that the registry lacks is published, ms: the acceptance of a younger one may be in progress. */
const PUBLISH_AGE = 3_000

/**
 * Finds jobs that only the store holds: from before a restart of the whole fleet, or of a daemon that ended before it published them. Each
 * daemon lists the stored headers at its start. After a process has ended, the daemon that ranks first for it lists them at once. That read
 * may come too early, return an old list, or be left by each daemon to another, so that one daemon lists them again from time to time.
 */
@scoped(Lifecycle.ContainerScoped)
export class StoredJobSearch implements Part {
  /** Processes that were alive at the last check, each as the daemon's name and the start of its process. */
  private processes: ReadonlySet<string> = new Set()
  /** When that set last changed, monotonic ms. */
  private changedAt: number
  private turn: string | undefined
  /** Whether another search must succeed, and whether searches are repeated until then. */
  private isWanted = false
  private isRepeating = false
  private isSearching = false
  /** Whether a search has succeeded. Until then every stored job is new here, and most are known to the other daemons. */
  private isStarted = false
  private cancel = (): void => {}

  constructor (
    @inject(JobRegistry) private readonly registry: Pick<JobRegistry, 'get' | 'addIfAbsent' | 'publishSeen'>,
    @inject(JobRecords) private readonly records: Pick<JobRecords, 'listHeaders'>,
    @inject(Members) private readonly members: Pick<Members, 'all' | 'owners'>,
    @inject(tokens.settings) private readonly settings: Pick<Settings, 'instance'>,
    @inject(tokens.log) private readonly log: LogSink,
    @inject(tokens.clock) private readonly clock: Clock
  ) {
    this.changedAt = clock.now()
  }

  async start (): Promise<void> {
    this.cancel = this.clock.every(CHECK_PERIOD, () => this.check())
    void this.searchUntilDone()
  }

  async drain (): Promise<void> {
    this.cancel()
  }

  private check (): void {
    const names = this.members.owners()
    if (this.hasProcessEnded(names)) void this.searchUntilDone()
    if (this.isTurn(names) && !this.isSearching) void this.search()
  }

  /** Whether a process has ended, which may have confirmed a job to its caller without having published it, and this daemon ranks first for it. */
  private hasProcessEnded (names: readonly string[]): boolean {
    const alive = new Set(this.members.all().filter(({ state }) => state !== 'leaving').map(({ instance, run }) => `${instance.name} ${run}`))
    const ended = [...this.processes].filter(id => !alive.has(id))
    if (ended.length > 0 || alive.size > this.processes.size) this.changedAt = this.clock.now()
    this.processes = alive
    return ended.some(id => this.isFirst(id, names))
  }

  /** Whether a turn has begun in which this daemon searches. */
  private isTurn (names: readonly string[]): boolean {
    const turn = findSearchTurn({ date: this.clock.date(), sinceChange: this.clock.now() - this.changedAt })
    if (turn === this.turn) return false
    this.turn = turn
    return this.isFirst(turn, names)
  }

  private isFirst (key: string, names: readonly string[]): boolean {
    return rankOwners(key, names)[0] === this.settings.instance
  }

  private async searchUntilDone (): Promise<void> {
    this.isWanted = true
    if (this.isRepeating) return
    this.isRepeating = true
    try {
      while (this.isWanted) {
        this.isWanted = false
        if (await this.search()) continue
        this.isWanted = true
        await pauseFor(this.clock, RETRY_DELAY)
      }
    } finally {
      this.isRepeating = false
    }
  }

  /** Adds the stored jobs that the registry lacks; returns false where the store fails. */
  private async search (): Promise<boolean> {
    this.isSearching = true
    try {
      const headers = await this.records.listHeaders()
      if (headers.ok) this.addMissing(headers.val)
      return headers.ok
    } finally {
      this.isSearching = false
    }
  }

  private addMissing (headers: ReadonlyMap<string, JobHeader>): void {
    for (const [id, header] of headers) {
      if (this.registry.get(id) !== undefined) continue
      this.registry.addIfAbsent(readKnownJob(id, header, { stored: false }))
      if (this.isStarted && this.clock.date() > header.submittedAt + PUBLISH_AGE) this.publish(id, header.owner)
    }
    this.isStarted = true
  }

  /** Publishes a job that no registry may have, unless it was removed. */
  private publish (id: string, owner: string): void {
    if (this.registry.get(id) === undefined) return
    this.log.write('info', 'jobs', 'found a job in the store that was not published', { job: id, owner })
    this.registry.publishSeen(id)
  }
}

partRegistry.register({ name: 'stored job search', part: StoredJobSearch, needs: ['job book', 'members'] })
