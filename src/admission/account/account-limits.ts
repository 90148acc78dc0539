/** Limits on what the account may lack, and on what it stores in the platform. Times in ms. */
export const accountLimits = {
  /** Time between two flushes while the platform is available, in a fleet of up to 60 daemons. */
  flushPeriod: 10_000,
  /** Online requests after which a flush is started early, in a fleet of up to 60 daemons. */
  maxUnflushed: 200,
  /** Flushes per second of all daemons together; a larger fleet flushes less often to stay within it. */
  fleetWriteRate: 6,
  /** Online requests per second of one daemon at which `lead` does not shorten the period of a large fleet: the target load. */
  daemonRequestRate: 25,
  /** Longest duration of a flush: one write, and a read if its reply is lost. */
  maxFlushTime: 5_000,
  /** Rows after which a part is closed and the next one begun, so that an object stays under 1 MB. */
  maxRows: 3_000,
  /** Time since the last flush after which an open part is folded into its day. */
  foldOpenAfter: 3_600_000,
  /**
   * Time since the last flush after which a closed part is folded. A run that lost the reply to its last write reads the part
   * again a second later. If the part had been folded by then, the run would have to learn from the day what was folded, and a
   * stale read may not show that.
   */
  foldClosedAfter: 600_000,
  /** Objects over which the callers of a day are spread. */
  shards: 16
} as const
