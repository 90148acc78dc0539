import type { ReportLine } from './report-line.js'
import type { ServiceTimes } from './service-times.js'

/** The figures of one period. Each grouping has every count in exactly one line. */
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
    /** Upper bound on the online requests missing from the counts. */
    readonly asked: number
    /** Daemon runs that they may be missing from. */
    readonly runs: readonly string[]
    /** Unresponsive daemons. */
    readonly silent: readonly string[]
    /** Days whose figures cover one daemon only, because the platform couldn't be read. */
    readonly partial: readonly string[]
  }
}
