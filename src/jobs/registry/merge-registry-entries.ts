import type { RegistryEntry } from './registry-entry.js'

/**
 * Merges two entries of the same job. Daemons that merge the same entries in any order, any number of times, end up with the same
 * entry. A job submitted again under an id that was removed replaces the earlier one.
 */
export function mergeRegistryEntries (a: RegistryEntry, b: RegistryEntry): RegistryEntry {
  if (a.submittedAt !== b.submittedAt) return a.submittedAt > b.submittedAt ? a : b
  const newer = isNewer(a, b) ? a : b
  const removedAt = Math.min(a.removedAt ?? Infinity, b.removedAt ?? Infinity)
  const route = newer.route ?? a.route ?? b.route
  return {
    ...newer,
    ...route !== undefined && { route },
    stored: a.stored || b.stored,
    closed: a.closed || b.closed,
    removedAt: removedAt === Infinity ? undefined : removedAt
  }
}

/** Orders entries of equal version, published concurrently, by their contents, so that all daemons choose the same one. */
function isNewer (a: RegistryEntry, b: RegistryEntry): boolean {
  if (a.version !== b.version) return a.version > b.version
  if (a.owner !== b.owner) return a.owner > b.owner
  if (a.run !== b.run) return a.run > b.run
  return a.tokensLeft >= b.tokensLeft
}
