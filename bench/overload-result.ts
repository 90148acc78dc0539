/** Measurements of a fleet at twice its capacity. Rates per second, times in ms. */
export interface OverloadResult {
  /** Rate of answers with just enough callers to keep the servers full. */
  readonly peak: number
  /** Rate of answers at twice that load. */
  readonly goodput: number
  /** Median time to a refusal. */
  readonly refusedWithin: number
  /** The problem documents of all refusals, and their Retry-After, s. */
  readonly refusals: ReadonlyArray<{ readonly after: number, readonly ran: string, readonly retryAfter: number, readonly header: number }>
}
