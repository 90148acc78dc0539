import { columns } from './columns.js'
import { formatChange } from './format-change.js'
import { formatTable } from './format-table.js'
import { listNotes } from './list-notes.js'
import type { Report } from './report.js'
import type { ReportLine } from './report-line.js'

/** A report as text. */
export function formatReport ({ now, before, refusals }: Report): string {
  const sections = [
    ['The period beside the one before', formatTable(['', 'now', 'before', 'change'], columns.map(({ name, read }) => {
      return [name, String(read(now.total)), String(read(before.total)), formatChange(read(now.total), read(before.total))]
    }))],
    ['By team', formatLines(now.teams, before.teams)],
    ['By caller', formatLines(now.callers, before.callers)],
    ['By service', formatLines(now.services, before.services)],
    ['By day', formatLines(now.days)],
    ['Times, ms', formatTable(['', 'answers', 'p50', 'p95', 'p99', 'p95 before'], now.times.map(({ name, count, p50, p95, p99 }) => {
      return [name, ...[count, p50, p95, p99].map(String), String(before.times.find(other => other.name === name)?.p95 ?? '-')]
    }))],
    ['Refused and failed, and what to do', refusals.map(({ work, type, cause, count, before, advice }) => `${count} ${work} ${type}: ${cause} (${formatChange(count, before)})\n    ${advice}`).join('\n') || 'none'],
    ['What the figures are drawn from, and what they may lack', listNotes(now).join('\n')]
  ]
  return [`Report ${now.since} to ${now.until}, beside ${before.since} to ${before.until}`, ...sections.map(([title, text]) => `${title}\n${text}`)].join('\n\n')
}

/** Columns with nothing in any line are left out; the first table of the report has them all. */
function formatLines (lines: readonly ReportLine[], before?: readonly ReportLine[]): string {
  const shown = columns.filter(({ read }) => lines.some(line => read(line) !== 0))
  const head = ['', ...shown.map(({ name }) => name), ...before === undefined ? [] : ['answered before']]
  return formatTable(head, lines.map(line => {
    const earlier = before?.find(({ name }) => name === line.name)
    return [line.name, ...shown.map(({ read }) => String(read(line))), ...before === undefined ? [] : [String(earlier?.online.answered ?? 0)]]
  }))
}
