import type { LogLine } from './log-line.js'

/** Two lines of different processes of which one must have been written first, whatever their stamps say. */
export interface OrderConstraint {
  readonly earlier: LogLine
  readonly later: LogLine
  readonly reason: string
}
