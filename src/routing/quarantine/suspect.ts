import type { ServerLoss } from './server-loss.js'

/** The losses recorded for one fingerprint. Each is in one of the lists. */
export interface Suspect {
  /** Losses of servers that had the request in flight, each once, of which it hasn't been cleared. */
  readonly losses: readonly ServerLoss[]
  /** Losses of which it was cleared by complete answers. */
  readonly clearedLosses: readonly ServerLoss[]
  /** Losses of which an operator released it. */
  readonly releasedLosses: readonly ServerLoss[]
  /** Complete answers since the last loss. */
  readonly passes: number
  /** Monotonic ms at which the record expires. */
  readonly until: number
}
