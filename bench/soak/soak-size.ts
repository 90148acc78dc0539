/** Sizes of one soak. Times in ms. */
export const soakSize = {
  engines: 4,
  slots: 6,
  /** Events of a stream, and the pause between two: a stream then lasts half a second, an item as long. */
  events: 20,
  pause: 25,
  /** Troubles begin within this, and load goes on for `tail` longer. */
  window: 9_000,
  tail: 2_000,
  maxTroubles: 6,
  maxDuration: 3_500,
  /** Between two requests; and between two jobs. */
  requestPeriod: 60,
  jobPeriod: 700,
  jobItems: 5,
  /** Within which all accepted jobs must be done once all is well again. */
  finishBound: 20_000,
  /** Time that callers give. */
  deadline: 5_000,
  /** Bounds of the users' pages: configuration in force, leaving servers, items of an ended job, and slack for a busy machine. */
  configurationBound: 2_000,
  drainBound: 2_000,
  cancelBound: 3_000,
  slack: 1_000
} as const
