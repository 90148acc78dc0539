import { drawBars } from '../observe/draw-bars.js'
import { escapeHtml } from '../observe/escape-html.js'
import { columns } from './columns.js'
import { countAll } from './count-all.js'
import { formatChange } from './format-change.js'
import { listNotes } from './list-notes.js'
import type { Report } from './report.js'
import type { ReportLine } from './report-line.js'

const STYLE = 'body{font:14px system-ui,sans-serif;margin:2em;color:#222}table{border-collapse:collapse;margin:1em 0}td,th{padding:2px 8px;text-align:right;border-bottom:1px solid #ddd}td:first-child,td.text{text-align:left}text{font:12px system-ui,sans-serif}svg{display:block;margin:1em 0}'
/** Most rows in a chart; the tables have them all. */
const MAX_BARS = 15

/** Builds a self-contained HTML page without scripts from a report, with charts and tables. */
export function buildReportPage ({ now, before, refusals }: Report): string {
  const title = `Report ${now.since} to ${now.until}`
  const body = [
    `<h1>${escapeHtml(title)}</h1><p>Compared with ${escapeHtml(before.since)} to ${escapeHtml(before.until)}.</p>`,
    buildTable(['', 'this period', 'previous', 'change'], columns.map(({ name, read }) => [name, String(read(now.total)), String(read(before.total)), formatChange(read(now.total), read(before.total))])),
    drawOutcomes('Online requests by day', now.days),
    drawBars('Tokens by day', { series: ['online', 'batch (on idle capacity)'], unit: '', rows: now.days.map(({ name, online, batch }) => ({ label: name, values: [online.tokens, batch.tokens] })) }),
    drawOutcomes('Online requests by team', now.teams),
    drawOutcomes('Online requests by caller', now.callers),
    drawShares(now.callers),
    drawBars('Response times', { series: ['p50', 'p95', 'p99'], unit: 'ms', rows: now.times.map(({ name, p50, p95, p99 }) => ({ label: name, values: [p50, p95, p99] })) }),
    drawBars('Jobs by caller', { series: ['on time', 'late', 'cancelled'], unit: '', rows: chooseLargest(now.callers, ({ batch }) => countAll(batch.jobs)).map(({ name, batch: { jobs } }) => ({ label: name, values: [jobs['on time'] ?? 0, jobs.late ?? 0, jobs.cancelled ?? 0] })) }),
    '<h2>Refusals and failures</h2>',
    buildTable(['cause', 'work', 'count', 'change', 'advice'], refusals.map(({ work, type, cause, count, before, advice }) => [`${type}: ${cause}`, work, String(count), formatChange(count, before), advice])),
    ...(['teams', 'callers', 'services', 'days'] as const).map(group => `<h2>By ${group.slice(0, -1)}</h2>` + buildTable(['', ...columns.map(({ name }) => name)], now[group].map(line => [line.name, ...columns.map(({ read }) => String(read(line)))]))),
    `<h2>Sources and limits of the figures</h2><ul>${listNotes(now).map(note => `<li>${escapeHtml(note)}</li>`).join('')}</ul>`
  ]
  return `<!doctype html><html lang="en"><meta charset="utf-8"><title>${escapeHtml(title)}</title><style>${STYLE}</style>${body.join('')}</html>\n`
}

function drawOutcomes (title: string, lines: readonly ReportLine[]): string {
  const chosen = chooseLargest(lines, ({ online }) => online.asked)
  return drawBars(chosen.length < lines.length ? `${title}, the ${MAX_BARS} largest` : title, {
    series: ['answered', 'refused', 'failed'],
    unit: '',
    rows: chosen.map(({ name, online }) => ({ label: name, values: [online.answered, countAll(online.refused), countAll(online.failed)] }))
  })
}

function drawShares (lines: readonly ReportLine[]): string {
  return drawBars('Share in busy minutes', {
    series: ['entitled', 'got'],
    unit: 's',
    rows: chooseLargest(lines, ({ online }) => online.entitled + online.got).map(({ name, online }) => ({ label: name, values: [online.entitled / 1_000, online.got / 1_000] }))
  })
}

/** Chooses the lines with the largest values, and keeps their order. */
function chooseLargest (lines: readonly ReportLine[], measure: (line: ReportLine) => number): readonly ReportLine[] {
  const ranked = lines.filter(line => measure(line) > 0).sort((a, b) => measure(b) - measure(a)).slice(0, MAX_BARS)
  return lines.filter(line => ranked.includes(line))
}

function buildTable (head: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
  const body = rows.map(cells => `<tr>${cells.map(cell => `<td>${escapeHtml(cell)}</td>`).join('')}</tr>`)
  return `<table><tr>${head.map(title => `<th>${escapeHtml(title)}</th>`).join('')}</tr>${body.join('')}</table>`
}
