import type { PartLoss } from './part-loss.js'

/** What is known for and against one part. Times in monotonic ms. */
export interface PartEvidence {
  /** Losses of servers with it in flight, each once, in order. */
  readonly losses: readonly PartLoss[]
  /** Runs that passed at other daemons, and their time in flight, ms, by daemon: with the part, and of all requests when that was told. */
  readonly passes: ReadonlyMap<string, { readonly count: number, readonly total: number, readonly time: number, readonly totalTime: number }>
  /** When this daemon began to refuse it; undefined if it wasn't refused. */
  readonly refusedAt?: number
  /** End of its refusal; undefined if it wasn't refused. */
  readonly refusedUntil?: number
  /** Trials that have passed, as far as is known, since its refusal and its last loss. */
  readonly trialsPassed?: number
  /** How often it has been refused. */
  readonly refusals: number
  /** Parts that were beside it in all of its losses and have passed nowhere: a request is refused only if it has them all. */
  readonly beside: readonly string[]
}
