import type { CandidateServer } from './candidate-server.js'

/** Returns how many batch items must stop at a server: as many as requests exceed its slots. */
export function countExcessBatch ({ slots, online, batch }: Pick<CandidateServer, 'slots' | 'online' | 'batch'>): number {
  return Math.max(0, Math.min(batch, online + batch - slots))
}
