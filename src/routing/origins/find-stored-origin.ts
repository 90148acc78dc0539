import type { FoundOrigin } from './found-origin.js'
import type { StoredOrigins } from './stored-origins.js'

/**
 * Finds the origin of a stream in what the store held after its caller came: its record, or the pool's default, at which all streams
 * without one began, unless records of the pool were dropped. A stream whose caller doesn't name it may
 * have any of the records, so it is of the default only if none is of another version.
 *
 * @example
 * findStoredOrigin({ defaults: new Map([['p', 'v1']]), withdrawn: new Set(), records: new Map(), incomplete: new Set() }, { id: 's', pool: 'p' }) // v1, by 'default version'
 */
export function findStoredOrigin (stored: StoredOrigins | undefined, { id, pool }: { readonly id: string | undefined, readonly pool: string }): Extract<FoundOrigin, { type: 'known' }> | undefined {
  const recorded = id === undefined ? undefined : stored?.records.get(id)
  if (recorded !== undefined) return { type: 'known', origin: recorded, by: 'stored record' }
  const version = stored?.defaults.get(pool)
  if (stored === undefined || version === undefined || stored.incomplete.has(pool)) return undefined
  const isOther = id === undefined && [...stored.records.values()].some(other => other.pool === pool && other.version !== version)
  return isOther ? undefined : { type: 'known', origin: { pool, version }, by: 'default version' }
}
