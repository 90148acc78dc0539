import { escapeHtml } from '../src/observe/escape-html.js'
import type { PolicyReport } from './policy-report.js'
import { showOnlineImpact } from './show-online-impact.js'

const PERCENT = 100

/** Returns an HTML table of the single repeats, so that outliers are visible, and the ratios with their intervals. */
export function drawOnlineImpact (report: PolicyReport): string {
  const rows = report.repeats.map(({ letter, load, batchRate }) => {
    const { firstToken, betweenTokens } = load
    return [`(${letter})`, load.asked, firstToken.p99.toFixed(1), firstToken.p999.toFixed(1), betweenTokens.p99.toFixed(1), batchRate.toFixed(0), `${(PERCENT * batchRate / report.idleCapacity).toFixed(0)} %`]
  })
  const heads = ['repeat of', 'asked', 'first token p99 ms', 'p99.9 ms', 'between tokens p99 ms', 'batch tokens/s', 'of idle capacity']
  const show = (cells: readonly (string | number)[], tag: 'td' | 'th'): string => `<tr>${cells.map(cell => `<${tag}>${escapeHtml(String(cell))}</${tag}>`).join('')}</tr>`
  return `<table>${show(heads, 'th')}${rows.map(row => show(row, 'td')).join('')}</table>${showOnlineImpact(report).map(line => `<p>${escapeHtml(line)}</p>`).join('')}`
}
