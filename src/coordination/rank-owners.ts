import { createHash } from 'node:crypto'

/**
 * Rendezvous (highest random weight) hashing: `candidates` in the order in which they should own `thing`. All who
 * know the same candidates agree without a word; when one goes, only what it owned moves. It says who should act,
 * never who may: pair it with a conditional update.
 *
 * Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
 *
 * @example
 * rankOwners('engine-4', ['entry-0', 'entry-1', 'entry-2'])[0] // the owner
 */
export function rankOwners (thing: string, candidates: readonly string[]): readonly string[] {
  return candidates
    .map(name => ({ name, weight: weigh(thing, name) }))
    .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
    .map(({ name }) => name)
}

function weigh (thing: string, candidate: string): number {
  return createHash('sha256').update(`${candidate}\0${thing}`).digest().readUIntBE(0, 6)
}
