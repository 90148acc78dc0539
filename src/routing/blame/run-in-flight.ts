import type { LostRun } from './lost-run.js'

/** A request of this daemon that is in flight at a server, or was until it ended. */
export interface RunInFlight extends LostRun {
  readonly server: string
  /** Whether any byte of it may have been sent. */
  readonly isSent: () => boolean
  /** Whether its parts have counted as passed. */
  hasPassed: boolean
  /** Until when its time in flight has been recorded, monotonic ms. */
  recordedUntil: number
}
