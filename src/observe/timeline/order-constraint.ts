import type { LogLine } from '../log-line.js'

/** Two lines of different processes, of which `earlier` was written first whatever their timestamps are. */
export interface OrderConstraint {
  readonly earlier: LogLine
  readonly later: LogLine
  /** Shown with a line that the constraint moves. */
  readonly reason: string
}
