import { buildPeriodReport } from './build-period-report.js'
import { findAdvice } from './find-advice.js'
import type { Report } from './report.js'
import type { ReportDay } from './report-day.js'
import type { ReportLine } from './report-line.js'
import type { ReportedCaller } from './reported-caller.js'

interface ReportOptions {
  readonly days: readonly ReportDay[]
  /** The days of the previous period. */
  readonly before: readonly ReportDay[]
  readonly callers: Readonly<Record<string, ReportedCaller>>
}

/** Builds the report of a period with the previous one for comparison. Teams are those of the configuration now in force. */
export function buildReport ({ days, before, callers }: ReportOptions): Report {
  const periods = { now: buildPeriodReport(days, callers), before: buildPeriodReport(before, callers) }
  return { ...periods, refusals: listRefusals(periods.now.total, periods.before.total) }
}

function listRefusals (now: ReportLine, before: ReportLine): Report['refusals'] {
  const works = ['online', 'batch'] as const
  const types = ['refused', 'failed'] as const
  const found = works.flatMap(work => types.flatMap(type => Object.entries(now[work][type]).map(([cause, count]) => {
    return { work, type, cause, count, before: before[work][type][cause] ?? 0, advice: findAdvice(cause) }
  })))
  return found.sort((a, b) => b.count - a.count || (a.cause < b.cause ? -1 : 1))
}
