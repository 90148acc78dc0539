import { Err, Ok, type Result } from 'ts-results'
import { inject, Lifecycle, scoped } from 'tsyringe'
import { tokens } from '../kernel/tokens.js'
import { listUpTo } from '../store/list-up-to.js'
import type { ObjectStore } from '../store/object-store.js'
import type { StoreError } from '../store/store-error.js'
import { createObject } from './create-object.js'

/** Wall-clock times in ms are subtracted from it, so that the newest sort first. */
const LAST_TIME = 9_999_999_999_999

/** The properties of a file or job that its entry is made from. */
interface Owned { readonly id: string, readonly caller: string, readonly created: number }

/**
 * Lists the files and jobs of each caller, newest first. Each has one small object whose name gives the order, so
 * that a page is a single listing and daemons that add entries at the same time don't conflict.
 */
@scoped(Lifecycle.ContainerScoped)
export class CallerIndex {
  constructor (@inject(tokens.store) private readonly store: ObjectStore) {}

  async add (type: 'file' | 'job', owned: Owned): Promise<Result<void, StoreError>> {
    return (await createObject(this.store, `caller-${type}`, formatName(owned), { id: owned.id })).map(() => undefined)
  }

  async remove (type: 'file' | 'job', owned: Owned): Promise<Result<void, StoreError>> {
    const read = await this.store.get(`caller-${type}`, formatName(owned))
    if (read.err) return read.val.type === 'missing' ? Ok(undefined) : Err(read.val)
    return await this.store.delete(`caller-${type}`, formatName(owned), read.val.version)
  }

  /**
   * Returns ids of the caller's files or jobs, newest first, from the one after `after`; `limit + 1` ids if there are
   * more than `limit`.
   */
  async list (type: 'file' | 'job', caller: string, { after, limit }: { readonly after?: Owned, readonly limit: number }): Promise<Result<readonly string[], StoreError>> {
    const found = await listUpTo<{ id: string }>(this.store, `caller-${type}`, { prefix: `${caller}~`, after: after && formatName(after), limit: limit + 1 })
    return found.map(entries => entries.map(({ value }) => value.id))
  }
}

function formatName ({ id, caller, created }: Owned): string {
  return `${caller}~${String(LAST_TIME - created).padStart(13, '0')}~${id}`
}
