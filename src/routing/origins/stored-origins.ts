import type { StreamOrigin } from './stream-origin.js'

/** What the store holds about the origins of streams. */
export interface StoredOrigins {
  /** By pool, the version at which every stream began that has no record. */
  readonly defaults: ReadonlyMap<string, string>
  /** Pools without a default, some of whose streams may have no record. */
  readonly withdrawn: ReadonlySet<string>
  /** Records by the id of the attempt that brought the first event. */
  readonly records: ReadonlyMap<string, StreamOrigin>
  /** Pools of which records were dropped while their streams may still be resumed. */
  readonly incomplete: ReadonlySet<string>
}
