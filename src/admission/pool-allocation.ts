/** What one daemon may use of a pool while callers ask for more than there is. */
export interface PoolAllocation {
  /** Of the pool's places, between 0 and 1. */
  readonly fraction: number
  /** By caller: what its share is multiplied by at this daemon, where it asks through some daemons more than others. */
  readonly factors: ReadonlyMap<string, number>
}
