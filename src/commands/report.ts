import { Command, Option } from 'clipanion'
import { writeFileSync } from 'node:fs'
import { Ok, type Result } from 'ts-results'
import { listDays } from '../admission/account/list-days.js'
import type { MergedAccount } from '../admission/account/merged-account.js'
import { buildReportPage } from '../report/build-report-page.js'
import { buildReport } from '../report/build-report.js'
import { findPeriod } from '../report/find-period.js'
import { formatReport } from '../report/format-report.js'
import type { ReportDay } from '../report/report-day.js'
import type { ReportedCaller } from '../report/reported-caller.js'
import { writeReportCsv } from '../report/write-report-csv.js'
import { EntryCommand } from './entry-command.js'
import type { EntryError } from './entry-error.js'
import { exitCodes } from './exit-codes.js'

/** Shows the usage of a period compared with the period before. */
export class ReportCommand extends EntryCommand {
  static override paths = [['report']]
  static override usage = Command.Usage({
    category: 'Operators',
    description: 'show usage and refusals of a week or another period',
    details: 'By team, caller, service and day, compared with the period before; this week by default. Days are UTC. Exit codes: 0 shown; 1 refused; 2 wrong usage; 3 no daemon answered.',
    examples: [
      ['One week', 'citronwheel report --week 2026-W48 --entry http://10.0.0.1:8080 --token TOKEN'],
      ['A page with charts, and a table for a spreadsheet', 'citronwheel report --since 2026-11-01 --until 2026-11-30 --html november.html --csv november.csv --entry http://10.0.0.1:8080 --token TOKEN']
    ]
  })

  week = Option.String('--week', { description: 'week to report, such as 2026-W48' })
  since = Option.String('--since', { description: 'first day, as YYYY-MM-DD' })
  until = Option.String('--until', { description: 'last day, as YYYY-MM-DD; today by default' })
  html = Option.String('--html', { description: 'write a self-contained HTML page to this file' })
  csv = Option.String('--csv', { description: 'write each day, caller and service as CSV to this file' })

  async execute (): Promise<number> {
    const period = findPeriod({ week: this.week, since: this.since, until: this.until, date: Date.now() })
    if (period.err) {
      this.context.stderr.write(`${period.val}\n`)
      return exitCodes.usage
    }
    const { since, until, before: earlier } = period.val
    const callers = await this.client().call<{ callers: Readonly<Record<string, ReportedCaller>> }>('GET', '/operator/callers')
    if (callers.err) return this.showError(callers.val)
    const before = await this.readDays(earlier.since, earlier.until)
    if (before.err) return this.showError(before.val)
    const days = await this.readDays(since, until)
    if (days.err) return this.showError(days.val)
    const report = buildReport({ days: days.val, before: before.val, callers: callers.val.callers })
    if (this.html !== undefined) writeFileSync(this.html, buildReportPage(report))
    if (this.csv !== undefined) writeFileSync(this.csv, writeReportCsv(days.val, callers.val.callers))
    return this.show(Ok(report), formatReport)
  }

  /** Reads one day per request, since serializing a whole week of thousands of callers would block the daemon. */
  private async readDays (since: string, until: string): Promise<Result<readonly ReportDay[], EntryError>> {
    const days: ReportDay[] = []
    for (const day of listDays(since, until)) {
      const read = await this.client().call<MergedAccount & { readonly silent: readonly string[] }>('GET', `/operator/account?since=${day}&until=${day}`)
      if (read.err) return read
      const { rows, times, mayMiss, whole, silent } = read.val
      days.push({ day, rows, times, mayMiss, whole, silent })
    }
    return Ok(days)
  }
}
