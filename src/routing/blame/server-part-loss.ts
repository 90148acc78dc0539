import type { LostRun } from './lost-run.js'

/** The loss of a server, detected at `at` (monotonic ms), and the requests in flight there from one daemon. */
export interface ServerPartLoss {
  readonly server: string
  readonly at: number
  readonly daemon: string
  /** Tells this report from the daemon's others of the server; undefined in messages of daemons that don't send it. */
  readonly id?: number
  readonly runs: readonly LostRun[]
}
