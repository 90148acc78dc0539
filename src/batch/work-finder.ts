import { inject, Lifecycle, scoped } from 'tsyringe'
import { ConfigurationHolder } from '../config/configuration-holder.js'
import { rankOwners } from '../coordination/rank-owners.js'
import type { Clock } from '../kernel/clock.js'
import { tokens } from '../kernel/tokens.js'
import { estimateRemainingTime } from './estimate-remaining-time.js'
import type { HeldChunks } from './chunks/held-chunks.js'
import { HoldingRecord } from './chunks/holding-record.js'
import type { Job } from './job.js'
import { JobWatch } from './job-watch.js'
import { listChunks } from './chunks/list-chunks.js'
import { orderJobs } from './order-jobs.js'
import { RecentUsage } from './recent-usage.js'
import type { WorkEntry } from './work-entry.js'
import { WorkIndex } from './work-index.js'

/** ms for which a job or chunk is skipped after it could not be claimed. */
const BUSY_PAUSE = 5_000
/** Jobs read in one search. */
const MAX_JOBS = 6
/** Chunks of a job tried in one search. */
const MAX_PROBES = 8

type NumberedChunk = ReturnType<typeof listChunks>[number]

/** A chunk that may be free to claim. */
interface Candidate { readonly job: Job, readonly chunk: NumberedChunk }

/**
 * Finds chunks to claim, in the order of jobs. A search reads one page of the index, at most `MAX_JOBS` jobs and
 * `MAX_PROBES` chunks of each. Chunks that turn out to be held are skipped for `BUSY_PAUSE`, to limit the load of
 * idle daemons on the platform.
 */
@scoped(Lifecycle.ContainerScoped)
export class WorkFinder {
  private readonly busy = new Map<string, number>()
  private readonly remainingTimes = new Map<string, number>()
  private readonly usage = new RecentUsage()

  constructor (
    @inject(WorkIndex) private readonly work: WorkIndex,
    @inject(JobWatch) private readonly jobs: JobWatch,
    @inject(HoldingRecord) private readonly holding: HoldingRecord,
    @inject(ConfigurationHolder) private readonly configuration: ConfigurationHolder,
    @inject(tokens.clock) private readonly clock: Clock
  ) {}

  /** Counts an item that was taken, for its caller and its job. */
  countUsage (caller: string, job: string): void {
    this.usage.add(caller, 1, this.clock.now())
    this.usage.add(job, 1, this.clock.now())
  }

  /** Skips a job or chunk for `BUSY_PAUSE`. */
  markBusy (name: string): void {
    this.busy.set(name, this.clock.now() + BUSY_PAUSE)
  }

  /** Considers all jobs and chunks again, after an announcement of free chunks. */
  clearBusy (): void {
    this.busy.clear()
    this.remainingTimes.clear()
  }

  async * find (service: string, held: HeldChunks): AsyncGenerator<Candidate> {
    this.pruneExpired()
    const entries = await this.work.list(service)
    if (entries.err) return
    const open = this.orderEntries(entries.val.filter(entry => entry.service === service && !this.busy.has(entry.job)))
    for (const { job: id } of open.slice(0, MAX_JOBS)) {
      const job = await this.jobs.check(id)
      if (job === undefined) continue
      this.remainingTimes.set(id, estimateRemainingTime(job, this.clock.date()))
      for (const chunk of this.chooseChunks(job, service, held)) yield { job, chunk }
      this.markBusy(id)
      if (held.listByJob(id).length === 0) this.jobs.remove(id)
    }
  }

  private orderEntries (entries: readonly WorkEntry[]): readonly WorkEntry[] {
    const now = this.clock.now()
    return orderJobs(entries, {
      date: this.clock.date(),
      share: caller => this.configuration.value.callers[caller]?.share ?? 1,
      used: name => this.usage.get(name, now),
      estimate: ({ job }) => this.remainingTimes.get(job) ?? 0
    })
  }

  /**
   * Returns unfinished chunks, starting at one chosen by hashing for this daemon, so that daemons seldom try to claim
   * the same one.
   */
  private chooseChunks (job: Job, service: string, held: HeldChunks): readonly NumberedChunk[] {
    const open = listChunks(job.services).filter(chunk => {
      const name = `${job.id}.${chunk.n}`
      return chunk.service === service && job.finished[chunk.n] === undefined && !held.has(name) && !this.busy.has(name)
    })
    const first = rankOwners(this.holding.incarnation.instance, open.map(({ n }) => String(n)))[0]
    const start = open.findIndex(({ n }) => String(n) === first)
    return [...open.slice(start), ...open.slice(0, Math.max(0, start))].slice(0, MAX_PROBES)
  }

  private pruneExpired (): void {
    const now = this.clock.now()
    this.usage.prune(now)
    for (const [name, until] of this.busy) {
      if (until > now) continue
      this.busy.delete(name)
      this.remainingTimes.delete(name)
    }
  }
}
