import type { BatchPolicy } from './batch-policy.js'

/** What batch admission on one server goes by. Times in ms. */
export interface BatchAdmissionOptions {
  readonly policy: BatchPolicy
  /** Sequences the server may have in flight, online and batch together. */
  readonly maxInFlight: number
  /** The model's target for the time between tokens. */
  readonly betweenTokens: number
}
