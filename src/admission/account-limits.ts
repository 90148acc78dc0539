/** Bounds of what the account may miss and of what it keeps in the platform. Times in ms. */
export const accountLimits = {
  /** Time between two flushes while the platform answers, in a fleet of up to 60 daemons. */
  flushPeriod: 10_000,
  /** Online requests after which a flush doesn't wait for the period, in a fleet of up to 60 daemons. */
  maxUnflushed: 200,
  /** Writes a second of all daemons together that longer periods hold to in a larger one. */
  fleetWriteRate: 6,
  /** Online requests a second of one daemon, with which such a period is still kept: the target's. */
  daemonRequestRate: 25,
  /** What a flush may take: one call and the reading back of its reply. */
  maxFlushTime: 5_000,
  /** Rows after which a part is closed and the next begun, so that an object stays under 1 MB. */
  maxRows: 3_000,
  /** Time after which a part that wasn't closed and isn't flushed any more is folded into its day. */
  foldOpenAfter: 3_600_000,
  /**
   * Time after which a closed one is. A run that lost the reply to its last write looks for the part a second later; if
   * it were folded by then, the run would have to learn from the day what was folded, which an old read may not show.
   */
  foldClosedAfter: 600_000,
  /** Objects over which a day's callers are spread. */
  shards: 16
} as const
