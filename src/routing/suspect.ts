import type { ServerLoss } from './server-loss.js'

/** What is held against one fingerprint. */
export interface Suspect {
  /** Losses of servers that had the request in flight, each once. */
  readonly losses: readonly ServerLoss[]
  /** Monotonic ms at which this is forgotten. */
  readonly until: number
}
