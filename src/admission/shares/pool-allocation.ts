/** What one daemon may use of a pool while demand exceeds its capacity. */
export interface PoolAllocation {
  /** Fraction of the capacity of the pool, between 0 and 1. */
  readonly fraction: number
  /** By caller: factor on its share at this daemon, for callers that use some daemons more than others. */
  readonly factors: ReadonlyMap<string, number>
}
