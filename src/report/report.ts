import type { PeriodReport } from './period-report.js'

/** What each caller, team and service got in a period, with the previous period for comparison. */
export interface Report {
  readonly now: PeriodReport
  readonly before: PeriodReport
  /** Refusals and failures of the period by cause, the most frequent first, with advice on each. */
  readonly refusals: readonly {
    readonly work: 'online' | 'batch'
    readonly type: 'refused' | 'failed'
    readonly cause: string
    readonly count: number
    readonly before: number
    readonly advice: string
  }[]
}
