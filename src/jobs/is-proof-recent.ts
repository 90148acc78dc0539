import type { PageProof } from './page-proof.js'

/**
 * How long ago callers may have read a result that an empty page lacks, ms. Callers are promised that what was read at one daemon can be read at
 * all others a second later; the rest of that second is for the page to reach them.
 */
const MAX_PROOF_AGE = 700

/** Whether an empty page may be sent at `now`, monotonic ms, by a proof that it lacks nothing. */
export function isProofRecent ({ until }: PageProof, now: number): boolean {
  return now - until <= MAX_PROOF_AGE
}
