import type { ServerLoss } from './server-loss.js'

/** What is held against one fingerprint. */
export interface Suspect {
  /** Losses of servers that had the request in flight, each once, and that no later whole run has answered for. */
  readonly losses: readonly ServerLoss[]
  /** Losses that whole runs have answered for. */
  readonly clearedLosses: readonly ServerLoss[]
  /** Whole runs since the last loss. */
  readonly passes: number
  /** Monotonic ms at which this is forgotten. */
  readonly until: number
}
