import type { FleetHistory } from './fleet-history.js'
import type { LogLine } from './log-line.js'
import type { ReadProblem } from './read-problem.js'

/** Result of the first pass over a folder of logs. */
export interface LogSurvey {
  /** Files that contain log lines, ordered by the time of their first line, so that rotated files come in order. */
  readonly files: readonly string[]
  /** Number of log lines. */
  readonly lines: number
  /** Instances by the names under which log lines refer to them. */
  readonly instances: ReadonlyMap<string, string>
  /** Lines with the traced id in one of their fields. */
  readonly mentions: readonly LogLine[]
  readonly history: FleetHistory
  readonly unread: readonly ReadProblem[]
}
