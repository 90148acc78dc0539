import { createHash } from 'node:crypto'

/**
 * Returns `candidates` in the order in which they should own `key`, by rendezvous (highest random weight) hashing.
 * All who have the same candidates agree without communication; when one leaves, only what it owned moves. The result
 * is a preference, not an exclusive right: combine it with a conditional update.
 *
 * Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
 *
 * @example
 * rankOwners('engine-4', ['entry-0', 'entry-1', 'entry-2'])[0] // the owner
 */
export function rankOwners (key: string, candidates: readonly string[]): readonly string[] {
  return candidates
    .map(name => ({ name, weight: weigh(key, name) }))
    .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
    .map(({ name }) => name)
}

function weigh (key: string, candidate: string): number {
  return createHash('sha256').update(`${candidate}\0${key}`).digest().readUIntBE(0, 6)
}
