import { columns } from './columns.js'
import { mergeLines } from './merge-lines.js'
import type { ReportDay } from './report-day.js'
import type { ReportedCaller } from './reported-caller.js'

/**
 * Every day, caller and service as a line of CSV (RFC 4180), the causes as `cause=count` in one field. Its first line
 * names the fields; sums are left to whoever reads it.
 */
export function writeReportCsv (days: readonly ReportDay[], callers: Readonly<Record<string, ReportedCaller>>): string {
  const head = ['day', 'caller', 'team', 'share', 'service', ...columns.map(({ name }) => name.replaceAll(' ', '_')), 'online_causes', 'batch_causes']
  const lines = days.flatMap(({ day, rows }) => mergeLines(rows, (caller, service) => JSON.stringify([caller, service])).map(line => {
    const [caller, service] = JSON.parse(line.name) as [string, string]
    const { team = '', share = '' } = callers[caller] ?? {}
    const causes = [line.online, line.batch].map(({ refused, failed }) => Object.entries({ ...refused, ...failed }).map(([cause]) => `${cause}=${(refused[cause] ?? 0) + (failed[cause] ?? 0)}`).join(';'))
    return [day, caller, team, share, service, ...columns.map(({ read }) => read(line)), ...causes]
  }))
  return [head, ...lines].map(fields => fields.map(field => escapeField(String(field))).join(',')).join('\r\n') + '\r\n'
}

/** A field that a spreadsheet would take for a formula is marked as text: names of callers and causes come from outside. */
function escapeField (field: string): string {
  const text = /^[=+\-@\t]/.test(field) ? `'${field}` : field
  return /[",\r\n]/.test(text) ? `"${text.replaceAll('"', '""')}"` : text
}
