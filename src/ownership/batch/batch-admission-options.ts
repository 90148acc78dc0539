import type { BatchPolicy } from './batch-policy.js'

/** Parameters of batch admission on one server. Times in ms. */
export interface BatchAdmissionOptions {
  readonly policy: BatchPolicy
  /** Most sequences that may be in flight at the server, online and batch together. */
  readonly maxInFlight: number
  /** The model's target for the time between tokens. */
  readonly betweenTokens: number
}
