import type { OnlineImpact } from './online-impact.js'
import type { PolicyResult } from './policy-result.js'

/** All policies of one site, and the batch rate of its engines with no online work. */
export interface PolicyReport {
  readonly site: string
  /** Tokens a second of batch work alone, everything forwarded. */
  readonly fullBatchRate: number
  /** What (a) leaves: the full batch rate over the share of the time in which its engines ran nothing. */
  readonly idleCapacity: number
  /** The harsher measure: the full batch rate less the tokens a second that (a) gave online. */
  readonly spareCapacity: number
  /** One a policy, its repeats together. */
  readonly results: readonly PolicyResult[]
  /** One a repeat. */
  readonly repeats: readonly PolicyResult[]
  readonly harm: readonly OnlineImpact[]
}
