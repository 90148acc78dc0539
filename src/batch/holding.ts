/**
 * What one run of a daemon holds, in the object `holding/INSTANCE`. It is written before a chunk is claimed and
 * renewed while any is held, so that one read tells which chunks a dead daemon leaves behind.
 */
export interface Holding {
  /** Wall-clock ms at which the run of the daemon began. */
  readonly started: number
  /** Wall-clock ms until which others leave its chunks alone. */
  readonly until: number
  /** Names of chunk objects. */
  readonly chunks: readonly string[]
}
