import type { Result } from 'ts-results'
import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../kernel/clock.js'
import { tokens } from '../kernel/tokens.js'
import { listUpTo } from '../store/list-up-to.js'
import type { ObjectStore } from '../store/object-store.js'
import type { StoreError } from '../store/store-error.js'
import { createObject } from './create-object.js'

/** ms. Exceeds the 60 s for which items may start without a successful check, and clock skew between daemons. */
const LOOKBACK = 900_000
/** ms after which entries are removed. */
const RETENTION = 3_600_000
const PAGE = 500
const TIME_DIGITS = 13

/**
 * Indexes recently cancelled jobs by time. With one listing a daemon finds out whether any of its jobs was cancelled,
 * instead of reading each job.
 */
@scoped(Lifecycle.ContainerScoped)
export class CancelledIndex {
  constructor (
    @inject(tokens.store) private readonly store: ObjectStore,
    @inject(tokens.clock) private readonly clock: Clock
  ) {}

  async add (job: string): Promise<Result<void, StoreError>> {
    return (await createObject(this.store, 'cancelled', `${formatTime(this.clock.date())}~${job}`, { job })).map(() => undefined)
  }

  /** Returns ids of recently cancelled jobs. If the page is `full`, the latest ones may be missing. */
  async list (): Promise<Result<{ readonly jobs: ReadonlySet<string>, readonly full: boolean }, StoreError>> {
    const found = await this.store.list<{ job: string }>('cancelled', { after: formatTime(this.clock.date() - LOOKBACK), limit: PAGE })
    return found.map(({ objects, next }) => ({ jobs: new Set(objects.map(({ value }) => value.job)), full: next !== undefined }))
  }

  /** Removes entries older than `RETENTION`, at most one page at a time. */
  async clean (): Promise<void> {
    const found = (await listUpTo(this.store, 'cancelled', { prefix: '', limit: PAGE })).unwrapOr([])
    const end = formatTime(this.clock.date() - RETENTION)
    for (const { name, version } of found) if (name < end) await this.store.delete('cancelled', name, version)
  }
}

function formatTime (date: number): string {
  return String(date).padStart(TIME_DIGITS, '0')
}
