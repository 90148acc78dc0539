import type { OriginGroup } from './origin-group.js'
import type { StreamOrigin } from './stream-origin.js'

/** Encodes records for the store, each origin once. */
export function encodeOrigins (records: Iterable<readonly [string, StreamOrigin]>): readonly OriginGroup[] {
  const groups = new Map<string, { readonly pool: string, readonly version: string, readonly ids: string[] }>()
  for (const [id, { pool, version }] of records) {
    const key = JSON.stringify([pool, version])
    const group = groups.get(key) ?? { pool, version, ids: [] }
    group.ids.push(id)
    groups.set(key, group)
  }
  return [...groups.values()]
}
