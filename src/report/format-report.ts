import { columns } from './columns.js'
import { formatChange } from './format-change.js'
import { formatTable } from './format-table.js'
import { listNotes } from './list-notes.js'
import type { Report } from './report.js'
import type { ReportLine } from './report-line.js'

/** Formats a report as text. */
export function formatReport ({ now, before, refusals }: Report): string {
  const sections = [
    ['This period and the previous one', formatTable(['', 'this period', 'previous', 'change'], columns.map(({ name, read }) => {
      return [name, String(read(now.total)), String(read(before.total)), formatChange(read(now.total), read(before.total))]
    }))],
    ['By team', formatLines(now.teams, before.teams)],
    ['By caller', formatLines(now.callers, before.callers)],
    ['By service', formatLines(now.services, before.services)],
    ['By day', formatLines(now.days)],
    ['Response times, ms', formatTable(['', 'answers', 'p50', 'p95', 'p99', 'previous p95'], now.times.map(({ name, count, p50, p95, p99 }) => {
      return [name, ...[count, p50, p95, p99].map(String), String(before.times.find(other => other.name === name)?.p95 ?? '-')]
    }))],
    ['Refusals and failures', refusals.map(({ work, type, cause, count, before, advice }) => `${count} ${work} ${type}: ${cause} (${formatChange(count, before)})\n    ${advice}`).join('\n') || 'none'],
    ['Sources and limits of the figures', listNotes(now).join('\n')]
  ]
  return [`Report ${now.since} to ${now.until}, compared with ${before.since} to ${before.until}`, ...sections.map(([title, text]) => `${title}\n${text}`)].join('\n\n')
}

/** Omits columns that are zero in every line; the first table of the report has all columns. */
function formatLines (lines: readonly ReportLine[], before?: readonly ReportLine[]): string {
  const shown = columns.filter(({ read }) => lines.some(line => read(line) !== 0))
  const head = ['', ...shown.map(({ name }) => name), ...before === undefined ? [] : ['previously answered']]
  return formatTable(head, lines.map(line => {
    const earlier = before?.find(({ name }) => name === line.name)
    return [line.name, ...shown.map(({ read }) => String(read(line))), ...before === undefined ? [] : [String(earlier?.online.answered ?? 0)]]
  }))
}
