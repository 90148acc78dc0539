import { escapeHtml } from '../src/observe/escape-html.js'
import { drawDue } from './due/draw-due.js'
import type { DueReport } from './due/due-report.js'
import { drawBars } from '../src/observe/draw-bars.js'
import type { FaultResult } from './fault-result.js'
import type { PolicyReport } from './policy-report.js'
import { drawOnlineImpact } from './draw-online-impact.js'
import { showIdleAccount } from './show-idle-account.js'

const STYLE = 'body{font:14px system-ui,sans-serif;margin:2em;max-width:60em}td,th{padding:2px 10px;text-align:right;border-bottom:1px solid #ddd}td:first-child{text-align:left}text{font:12px system-ui,sans-serif}'

/** Returns the reports as one self-contained HTML page with plots. */
export function buildReportPage ({ policies, faults, due }: { readonly policies: readonly PolicyReport[], readonly faults: readonly FaultResult[], readonly due: readonly DueReport[] }): string {
  return `<!doctype html><html lang="en"><meta charset="utf-8"><title>citronwheel bench</title><style>${STYLE}</style><h1>citronwheel bench</h1>` +
    policies.map(showPolicies).join('') + (faults.length === 0 ? '' : showFaults(faults)) + drawDue(due) + '</html>\n'
}

function showPolicies (report: PolicyReport): string {
  const { site, results, fullBatchRate, idleCapacity, spareCapacity } = report
  const label = ({ letter, name }: { letter: string, name: string }): string => `(${letter}) ${name}`
  const times = (pick: 'firstToken' | 'betweenTokens'): string => drawBars(`${site}: online ${pick === 'firstToken' ? 'time to first token' : 'time between tokens'}`, {
    series: ['p50', 'p95', 'p99', 'p99.9'],
    unit: 'ms',
    rows: results.map(result => {
      const { p50, p95, p99, p999 } = result.load[pick]
      return { label: label(result), values: [p50, p95, p99, p999] }
    })
  })
  const batch = drawBars(`${site}: batch tokens a second`, {
    series: ['batch'],
    unit: 'tokens/s',
    rows: [
      { label: 'idle capacity of (a)', values: [idleCapacity] },
      { label: 'spare capacity of (a)', values: [spareCapacity] },
      { label: 'batch alone', values: [fullBatchRate] },
      ...results.map(result => ({ label: label(result), values: [result.batchRate] }))
    ]
  })
  const wasted = drawBars(`${site}: tokens wasted by preemption`, { series: ['tokens'], unit: '', rows: results.map(result => ({ label: label(result), values: [result.work.wastedTokens] })) })
  return `<h2>${escapeHtml(site)}</h2>${times('firstToken')}${times('betweenTokens')}${batch}${wasted}${drawOnlineImpact(report)}${results.map(result => `<p>${escapeHtml(`(${result.letter}) where idle capacity went: ${showIdleAccount(result)}`)}</p>`).join('')}`
}

function showFaults (faults: readonly FaultResult[]): string {
  const rows = faults.map(({ fault, asked, answered, refused, lost, untilGood, bad, sendsOverRequests }) => {
    const cells = [fault, asked, answered, JSON.stringify(refused), lost, bad, untilGood.toFixed(0), sendsOverRequests.toFixed(3)]
    return `<tr>${cells.map(cell => `<td>${escapeHtml(String(cell))}</td>`).join('')}</tr>`
  })
  const heads = ['fault', 'asked', 'answered', 'refused', 'lost', 'bad', 'ms until good', 'sends / requests']
  return `<h2>Faults</h2><table><tr>${heads.map(head => `<th>${head}</th>`).join('')}</tr>${rows.join('')}</table>`
}
