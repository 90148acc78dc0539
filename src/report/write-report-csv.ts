import { columns } from './columns.js'
import { mergeLines } from './merge-lines.js'
import type { ReportDay } from './report-day.js'
import type { ReportedCaller } from './reported-caller.js'

/**
 * Writes CSV (RFC 4180) with a header and one record per day, caller and service. The causes of refusals and failures are
 * `cause=count` pairs in one field. There are no totals.
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

/** Quotes a field, and prefixes one that a spreadsheet would evaluate as a formula: names of callers and causes are untrusted. */
function escapeField (field: string): string {
  const text = /^[=+\-@\t]/.test(field) ? `'${field}` : field
  return /[",\r\n]/.test(text) ? `"${text.replaceAll('"', '""')}"` : text
}
