import { Err, Ok, type Result } from 'ts-results'
import { inject, Lifecycle, scoped } from 'tsyringe'
import { tokens } from '../../kernel/tokens.js'
import { listUpTo } from '../../store/list-up-to.js'
import type { ObjectStore } from '../../store/object-store.js'
import type { StoreError } from '../../store/store-error.js'
import { createObject } from '../create-object.js'
import type { Expiry } from './expiry.js'

const PAGE = 100 // objects
const DAY_LENGTH = 'yyyy-mm-dd'.length

/**
 * Schedules files and jobs for expiry checks by day. Each has one small object whose name gives the order, so that a
 * page is a single listing.
 */
@scoped(Lifecycle.ContainerScoped)
export class ExpiryIndex {
  constructor (@inject(tokens.store) private readonly store: ObjectStore) {}

  /** Schedules a check of a file or job for the day of `date` (wall-clock ms). */
  async add ({ type, id }: Expiry, date: number): Promise<Result<void, StoreError>> {
    const expiry: Expiry = { type, id }
    return (await createObject(this.store, 'expiry', `${formatDay(date)}~${type}~${id}`, expiry)).map(() => undefined)
  }

  /** Returns a page of the checks that are due by the day of `date`. */
  async list (date: number): Promise<Result<ReadonlyArray<Expiry & { readonly name: string }>, StoreError>> {
    const found = await listUpTo<Expiry>(this.store, 'expiry', { prefix: '', limit: PAGE })
    return found.map(entries => entries.filter(({ name }) => name.slice(0, DAY_LENGTH) <= formatDay(date)).map(({ name, value }) => ({ name, ...value })))
  }

  async remove (name: string): Promise<Result<void, StoreError>> {
    const read = await this.store.get('expiry', name)
    if (read.err) return read.val.type === 'missing' ? Ok(undefined) : Err(read.val)
    return await this.store.delete('expiry', name, read.val.version)
  }
}

function formatDay (date: number): string {
  return new Date(date).toISOString().slice(0, DAY_LENGTH)
}
