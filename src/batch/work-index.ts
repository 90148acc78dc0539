import { Err, Ok, type Result } from 'ts-results'
import { inject, Lifecycle, scoped } from 'tsyringe'
import { tokens } from '../kernel/tokens.js'
import { listUpTo } from '../store/list-up-to.js'
import type { ObjectStore } from '../store/object-store.js'
import type { StoreError } from '../store/store-error.js'
import { createObject } from './create-object.js'
import type { Job } from './job.js'
import type { WorkEntry } from './work-entry.js'

const PAGE = 500 // objects
const TIME_DIGITS = 13

/**
 * Indexes the open jobs of each service by due time. Each pair of job and service has one small object whose name
 * gives the order: the 500 with the earliest due times are one listing, and additions never conflict.
 */
@scoped(Lifecycle.ContainerScoped)
export class WorkIndex {
  constructor (@inject(tokens.store) private readonly store: ObjectStore) {}

  async add (job: Job): Promise<Result<void, StoreError>> {
    for (const { service, sizes } of job.services) {
      const items = sizes.reduce((sum, size) => sum + size, 0)
      const entry: WorkEntry = { job: job.id, service, caller: job.caller, created: job.created, due: job.due, items }
      const added = await createObject(this.store, 'work', formatName(entry), entry)
      if (added.err) return added
    }
    return Ok(undefined)
  }

  async list (service: string): Promise<Result<readonly WorkEntry[], StoreError>> {
    const found = await listUpTo<WorkEntry>(this.store, 'work', { prefix: `${service}~`, limit: PAGE })
    return found.map(entries => entries.map(({ value }) => value))
  }

  /** Removes a job that has no more work for the service. */
  async remove (entry: Pick<WorkEntry, 'job' | 'service' | 'due'>): Promise<Result<void, StoreError>> {
    const read = await this.store.get('work', formatName(entry))
    if (read.err) return read.val.type === 'missing' ? Ok(undefined) : Err(read.val)
    return await this.store.delete('work', formatName(entry), read.val.version)
  }
}

function formatName ({ service, due, job }: Pick<WorkEntry, 'job' | 'service' | 'due'>): string {
  return `${service}~${String(due).padStart(TIME_DIGITS, '0')}~${job}`
}
