/**
 * Shows that a page of a job's results lacks nothing that callers may have read.
 * - `done`: every result of the job is in memory.
 * - `sole owner`: by a recent look-up no other daemon stores results of the job, and no write of this one or of a former owner is in doubt.
 * - `store`: a read of the store found no further segment.
 */
export interface PageProof {
  readonly basis: 'done' | 'sole owner' | 'store'
  /** Until when callers can't have read a result that isn't in memory, monotonic ms. */
  readonly until: number
}
