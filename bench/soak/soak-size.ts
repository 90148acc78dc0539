/** Sizes of one soak. Times in ms. */
export const soakSize = {
  engines: 4,
  slots: 6,
  /** Events of a stream, and the pause between two events. */
  events: 20,
  pause: 25,
  /** Troubles begin within `window`, and load continues for `tail` after it. */
  window: 9_000,
  tail: 4_500,
  maxTroubles: 6,
  maxDuration: 3_500,
  /** Time between two requests, and between two jobs. */
  requestPeriod: 60,
  jobPeriod: 700,
  jobItems: 5,
  /** Part of a prompt that crashes servers, time until a crashed server is back, and one in how many requests of the usual organisation has the part. */
  badPart: 'bad',
  crashDowntime: 1_200,
  badEvery: 7,
  /** Time in which all accepted jobs must be complete once load and troubles have ended. */
  finishBound: 20_000,
  /** Longest time in which no server runs any item of an incomplete job while servers are under half full, once troubles have ended: the longest reason to wait for a slot, and a look-up. */
  lyingBound: 8_000,
  /** Time after which what one daemon showed is shown by all. */
  settleBound: 1_000,
  /** Deadline of the callers' requests. */
  deadline: 5_000,
  /** Bounds on applying a configuration, on draining a server and on cancelling a job, and slack for a busy machine. */
  configurationBound: 2_000,
  drainBound: 2_000,
  cancelBound: 3_000,
  slack: 1_000
} as const
