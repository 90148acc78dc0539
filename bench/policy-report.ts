import type { OnlineImpact } from './online-impact.js'
import type { PolicyResult } from './policy-result.js'

/** Results of all policies at one site, with the batch rate of its engines without online work. */
export interface PolicyReport {
  readonly site: string
  /** Tokens per second of batch work alone, all of it forwarded. */
  readonly fullBatchRate: number
  /** The full batch rate times the share of time in which the engines ran nothing under (a). */
  readonly idleCapacity: number
  /** The full batch rate minus the online tokens per second of (a). */
  readonly spareCapacity: number
  /** One result per policy, its repeats merged. */
  readonly results: readonly PolicyResult[]
  /** One result per repeat. */
  readonly repeats: readonly PolicyResult[]
  readonly harm: readonly OnlineImpact[]
}
