import { Command, Option } from 'clipanion'
import { writeFileSync } from 'node:fs'
import { Ok, type Result } from 'ts-results'
import { listDays } from '../admission/list-days.js'
import type { MergedAccount } from '../admission/merged-account.js'
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

/** Shows who got what in a week, beside the week before, for managers. */
export class ReportCommand extends EntryCommand {
  static override paths = [['report']]
  static override usage = Command.Usage({
    category: 'Operators',
    description: 'show who got what in a week, and what was refused',
    details: 'By team, caller, service and day, beside the same days of the period before; this week where nothing is named. Days are UTC. Exit codes: 0 shown; 1 refused; 2 wrong usage; 3 no daemon answered.',
    examples: [
      ['One week', 'citronwheel report --week 2026-W48 --entry http://10.0.0.1:8080 --token TOKEN'],
      ['A page with plots, and a table for a spreadsheet', 'citronwheel report --since 2026-11-01 --until 2026-11-30 --html november.html --csv november.csv --entry http://10.0.0.1:8080 --token TOKEN']
    ]
  })

  week = Option.String('--week', { description: 'week to report, as 2026-W48' })
  since = Option.String('--since', { description: 'first day, as YYYY-MM-DD' })
  until = Option.String('--until', { description: 'last day, as YYYY-MM-DD; today where it is left out' })
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

  /** A day at a time: the answer for a whole week of thousands of callers would hold the daemon up while it is written. */
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
