import type { CandidateServer } from './candidate-server.js'

/** Returns how many slots the servers have in all, free or taken. */
export function countSlots (candidates: readonly CandidateServer[]): number {
  return candidates.reduce((sum, { slots }) => sum + slots, 0)
}
