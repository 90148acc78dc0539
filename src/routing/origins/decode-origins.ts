import type { StreamOrigin } from './stream-origin.js'

/** Decodes stored records. Those that aren't as `encodeOrigins` writes them are left out. */
export function decodeOrigins (groups: unknown): ReadonlyArray<readonly [string, StreamOrigin]> {
  if (!Array.isArray(groups)) return []
  return groups.flatMap(group => {
    const { pool, version, ids } = Object(group)
    if (typeof pool !== 'string' || typeof version !== 'string' || !Array.isArray(ids)) return []
    return ids.filter(id => typeof id === 'string').map(id => [id as string, { pool, version }] as const)
  })
}
