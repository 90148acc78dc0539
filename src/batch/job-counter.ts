import { Ok, type Result } from 'ts-results'
import { inject, Lifecycle, scoped } from 'tsyringe'
import { GroupCommit } from '../coordination/group-commit.js'
import type { Clock } from '../kernel/clock.js'
import { tokens } from '../kernel/tokens.js'
import type { StoreError } from '../store/store-error.js'
import type { Counts } from './counts.js'
import type { Job } from './job.js'
import { JobOutcomes } from './job-outcomes.js'
import { JobStore } from './job-store.js'
import { listChunks } from './chunks/list-chunks.js'
import { WorkIndex } from './work-index.js'

/** Longest time in ms that counts wait for others to join their write. */
const MAX_WAIT = 500

interface Finished { readonly n: number, readonly counts: Counts }

/**
 * Adds the counts of closed chunks to their jobs, in one write for those closed within half a second. A job stores
 * counts by chunk, so adding them twice, after a lost reply or by two daemons, changes nothing.
 */
@scoped(Lifecycle.ContainerScoped)
export class JobCounter {
  private readonly commits = new Map<string, GroupCommit<Finished, StoreError>>()

  constructor (
    @inject(JobStore) private readonly jobs: JobStore,
    @inject(WorkIndex) private readonly work: WorkIndex,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(JobOutcomes) private readonly outcomes: JobOutcomes
  ) {}

  /** Resolves once the job has the counts or no longer exists. */
  async add (job: string, n: number, { completed, failed, cancelled }: Counts): Promise<void> {
    const commit = this.commits.get(job) ?? this.createCommit(job)
    await commit.add({ n, counts: { completed, failed, cancelled } })
    if (commit.waiting.entries.length === 0) this.commits.delete(job)
  }

  private createCommit (job: string): GroupCommit<Finished, StoreError> {
    const commit = new GroupCommit<Finished, StoreError>({
      clock: this.clock,
      maxWait: MAX_WAIT,
      isFinal: ({ type }) => type === 'missing' || type === 'invalid',
      write: async finished => await this.write(job, finished)
    })
    this.commits.set(job, commit)
    return commit
  }

  private async write (id: string, finished: readonly Finished[]): Promise<Result<void, StoreError>> {
    const closed = new Map(finished.map(({ n, counts }) => [n, counts]))
    const written = await this.jobs.update(id, job => this.outcomes.apply(job, closed))
    if (written.err) return written
    this.outcomes.count(written.val)
    return await this.removeWork(written.val)
  }

  /** Removes the job from the work index of each service that has no unfinished chunk in it. */
  private async removeWork (job: Job): Promise<Result<void, StoreError>> {
    const chunks = listChunks(job.services)
    for (const { service } of job.services) {
      if (chunks.some(chunk => chunk.service === service && job.finished[chunk.n] === undefined)) continue
      const removed = await this.work.remove({ job: job.id, service, due: job.due })
      if (removed.err && removed.val.type !== 'conflict') return removed
    }
    return Ok(undefined)
  }
}
