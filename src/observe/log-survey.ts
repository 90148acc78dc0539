import type { FleetHistory } from './fleet-history.js'
import type { LogLine } from './log-line.js'
import type { ReadProblem } from './read-problem.js'

/** What a first look at a folder of logs finds. */
export interface LogSurvey {
  /** Files with lines of a log, those with earlier lines first: of one instance the older file comes first. */
  readonly files: readonly string[]
  readonly lines: number
  /** The instances, by the names under which lines speak of them. */
  readonly instances: ReadonlyMap<string, string>
  /** Lines that have the id in one of their fields. */
  readonly mentions: readonly LogLine[]
  readonly history: FleetHistory
  readonly unread: readonly ReadProblem[]
}
