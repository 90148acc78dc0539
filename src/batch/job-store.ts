import { randomUUID } from 'node:crypto'
import { Err, Ok, type Result } from 'ts-results'
import { inject, Lifecycle, scoped } from 'tsyringe'
import { ConfigurationHolder } from '../config/configuration-holder.js'
import type { Clock } from '../kernel/clock.js'
import { tokens } from '../kernel/tokens.js'
import type { CallPriority } from '../store/call-priority.js'
import type { ObjectStore } from '../store/object-store.js'
import type { StoreError } from '../store/store-error.js'
import type { BatchFile } from './files/batch-file.js'
import { CallerIndex } from './caller-index.js'
import { cancelJob } from './cancel-job.js'
import { CancelledIndex } from './cancelled-index.js'
import { createObject } from './create-object.js'
import { ExpiryIndex } from './files/expiry-index.js'
import { hashId } from './hash-id.js'
import type { Job } from './job.js'
import { updateObject } from './update-object.js'
import { WorkIndex } from './work-index.js'

interface JobOptions {
  /** Identifies the job among those of its caller; the same key gives the same job. */
  readonly key: string
  readonly endpoint: string
  /** Time in ms from acceptance until it is due. */
  readonly window: number
  readonly metadata?: Readonly<Record<string, string>>
}

/** Stores jobs as objects of the platform. */
@scoped(Lifecycle.ContainerScoped)
export class JobStore {
  constructor (
    @inject(tokens.store) private readonly store: ObjectStore,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(WorkIndex) private readonly work: WorkIndex,
    @inject(CallerIndex) private readonly index: CallerIndex,
    @inject(ExpiryIndex) private readonly expiries: ExpiryIndex,
    @inject(CancelledIndex) private readonly cancelled: CancelledIndex,
    @inject(ConfigurationHolder) private readonly configuration: ConfigurationHolder
  ) {}

  /**
   * Creates a job under an id derived from its caller and key, so that a repeated request gives the same job through
   * any daemon. Returns `Ok` only once the job is in the work index; if this daemon crashes before that, a repeated
   * request completes the rest. `created` is true for at most one of the requests.
   *
   * The file is read after its use has been recorded, to find out whether the clean-up has removed it before.
   */
  async create (file: BatchFile, { key, endpoint, window, metadata }: JobOptions): Promise<Result<{ readonly job: Job, readonly created: boolean }, StoreError>> {
    const created = this.clock.date()
    const acceptance = randomUUID()
    const id = `batch-${hashId(file.caller, key)}`
    const used = await createObject(this.store, 'file-job', `${file.id}~${id}`, { job: id })
    if (used.err) return used
    const present = await this.store.get('file', file.id, 'caller')
    if (present.err) return present
    const stored = await createObject<Job>(this.store, 'job', id, {
      id, caller: file.caller, file: file.id, endpoint, created, due: created + window, items: file.items, services: file.services, status: 'in_progress', finished: {}, acceptance, metadata
    })
    if (stored.err) return stored
    const listed = await this.addToIndexes(stored.val)
    return listed.map(() => ({ job: stored.val, created: stored.val.acceptance === acceptance }))
  }

  /** Adds the job to the work index, the expiry index and the index of its caller. */
  private async addToIndexes (job: Job): Promise<Result<void, StoreError>> {
    const added = job.ended === undefined ? await this.work.add(job) : Ok(undefined)
    if (added.err) return added
    const due = await this.expiries.add({ type: 'job', id: job.id }, job.due + this.configuration.value.limits.resultKeep)
    return due.ok ? await this.index.add('job', job) : due
  }

  async read (id: string, priority: CallPriority = 'caller'): Promise<Result<Job, StoreError>> {
    return (await this.store.get<Job>('job', id, priority)).map(({ value }) => value)
  }

  /** Applies `change`, which may be called more than once, and returns the resulting job. */
  async update (id: string, change: (job: Job) => Job, priority: CallPriority = 'background'): Promise<Result<Job, StoreError>> {
    return await updateObject<Job>(this.store, 'job', id, { change, priority })
  }

  /**
   * Cancels a caller's job and returns the resulting job. `Ok` means that the cancellation is durable and that each
   * holder sees it with its next check. A repeated request completes one that failed halfway.
   */
  async cancel (id: string, caller: string): Promise<Result<Job, StoreError>> {
    const date = this.clock.date()
    const job = await this.update(id, job => job.caller === caller ? cancelJob(job, date) : job, 'caller')
    if (job.err) return job
    if (job.val.caller !== caller) return Err({ type: 'missing' })
    if (job.val.status !== 'cancelling') return job
    const listed = await this.cancelled.add(id)
    return listed.ok ? job : Err({ type: 'unknown', reason: 'the job is cancelled, but its holders may notice late' })
  }

  /** Returns a page of the caller's jobs, newest first, and whether there are more. */
  async list (caller: string, { after, limit }: { readonly after?: Job, readonly limit: number }): Promise<Result<{ readonly jobs: readonly Job[], readonly more: boolean }, StoreError>> {
    const ids = await this.index.list('job', caller, { after, limit })
    if (ids.err) return ids
    const jobs: Job[] = []
    for (const id of ids.val.slice(0, limit)) {
      const job = await this.read(id)
      if (job.ok) jobs.push(job.val)
      else if (job.val.type !== 'missing') return job
    }
    return Ok({ jobs, more: ids.val.length > limit })
  }
}
