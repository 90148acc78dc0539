import { isProofRecent } from './is-proof-recent.js'
import type { OwnedJob } from './owned-job.js'
import type { PageProof } from './page-proof.js'

/** Returns a recent proof that the results of the job in memory include all that callers may have read; undefined if there is none. */
export function findPageProof (job: OwnedJob, now: number): PageProof | undefined {
  if (job.isDone) return { basis: 'done', until: now }
  const proofs: readonly PageProof[] = [{ basis: 'sole owner', until: job.findCompleteUntil(now) }, { basis: 'store', until: job.readUntil }]
  return proofs.find(proof => isProofRecent(proof, now))
}
