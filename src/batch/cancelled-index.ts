import type { Result } from 'ts-results'
import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../kernel/clock.js'
import { tokens } from '../kernel/tokens.js'
import type { ObjectStore } from '../store/object-store.js'
import type { StoreError } from '../store/store-error.js'
import { createObject } from './create-object.js'

/** Far above the 60 s for which items start without a look, and above what wall clocks differ by. */
const LOOKBACK = 900_000
/** Entries older than this are of no use to anybody. */
const RETENTION = 3_600_000
const PAGE = 500
const TIME_DIGITS = 13

/**
 * The jobs that were cancelled of late, in small objects under names that sort by time. A daemon asks with one listing
 * whether any of its jobs is among them, in place of one read a job.
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

  /** Ids of jobs cancelled in the last quarter of an hour; a page that is full may lack the latest. */
  async list (): Promise<Result<{ readonly jobs: ReadonlySet<string>, readonly full: boolean }, StoreError>> {
    const found = await this.store.list<{ job: string }>('cancelled', { after: formatTime(this.clock.date() - LOOKBACK), limit: PAGE })
    return found.map(entries => ({ jobs: new Set(entries.map(({ value }) => value.job)), full: entries.length === PAGE }))
  }

  /** Removes a page of entries whose time is over. */
  async clean (): Promise<void> {
    const found = (await this.store.list('cancelled', { limit: PAGE })).unwrapOr([])
    const end = formatTime(this.clock.date() - RETENTION)
    for (const { name, version } of found) if (name < end) await this.store.delete('cancelled', name, version)
  }
}

function formatTime (date: number): string {
  return String(date).padStart(TIME_DIGITS, '0')
}
