/**
 * The chunks held by one daemon process, stored as `holding/INSTANCE`. Written before a chunk is claimed and renewed
 * while any is held, so that one read shows which chunks a dead daemon has left.
 */
export interface Holding {
  /** Wall-clock ms at which the process started. */
  readonly started: number
  /** Wall-clock ms at which the lease expires. */
  readonly until: number
  /** Names of chunk objects. */
  readonly chunks: readonly string[]
}
