import type { ReportLine } from './report-line.js'
import type { ServiceTimes } from './service-times.js'

/** One period's figures, each count in one line of each grouping. */
export interface PeriodReport {
  /** First and last day, YYYY-MM-DD, UTC. */
  readonly since: string
  readonly until: string
  readonly total: ReportLine
  readonly callers: readonly ReportLine[]
  readonly teams: readonly ReportLine[]
  readonly services: readonly ReportLine[]
  readonly days: readonly ReportLine[]
  readonly times: readonly ServiceTimes[]
  readonly bound: {
    /** Online requests that may lack, at most. */
    readonly asked: number
    readonly runs: readonly string[]
    readonly silent: readonly string[]
    /** Days whose figures are of one daemon only, because the platform couldn't be read. */
    readonly partial: readonly string[]
  }
}
