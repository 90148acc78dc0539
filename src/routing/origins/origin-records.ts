import type { StreamOrigin } from './stream-origin.js'

/** Records kept at most; the oldest are dropped first. */
const MAX_RECORDS = 50_000
/** Longest id that is kept, characters; a stream with a longer one can't be resumed where servers have several versions. */
const MAX_ID = 256

interface OriginRecord { readonly origin: StreamOrigin, readonly until: number }

/** Origins of streams by the id of the attempt that brought the first event, each until its callers can no longer resume it. */
export class OriginRecords {
  private readonly records = new Map<string, OriginRecord>()

  /** Keeps an origin until `until`, monotonic ms. */
  put (id: string, origin: StreamOrigin, until: number): void {
    if (id.length > MAX_ID) return
    this.records.delete(id)
    this.records.set(id, { origin, until })
    if (this.records.size > MAX_RECORDS) this.records.delete(this.records.keys().next().value!)
  }

  find (id: string): StreamOrigin | undefined {
    return this.records.get(id)?.origin
  }

  dropExpired (now: number): void {
    for (const [id, { until }] of this.records) if (until <= now) this.records.delete(id)
  }

  /** Lists the records of a pool, with their ids. */
  list (pool: string): ReadonlyArray<readonly [string, OriginRecord]> {
    return [...this.records].filter(([, { origin }]) => origin.pool === pool)
  }
}
