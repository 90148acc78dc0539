import type { PeriodReport } from './period-report.js'

/** Who got what in a period, beside as many days before it. */
export interface Report {
  readonly now: PeriodReport
  readonly before: PeriodReport
  /** Refusals and failures of the period by cause, the most frequent first, with what to do about each. */
  readonly refusals: readonly {
    readonly work: 'online' | 'batch'
    readonly type: 'refused' | 'failed'
    readonly cause: string
    readonly count: number
    readonly before: number
    readonly advice: string
  }[]
}
