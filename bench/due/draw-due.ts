import { drawBars } from '../../src/observe/draw-bars.js'
import type { DueReport } from './due-report.js'

const PERCENT = 100

/** Returns one plot per site of the share of jobs on time by order, or an empty string if there are no reports. */
export function drawDue (reports: readonly DueReport[]): string {
  const sites = [...new Set(reports.map(({ site }) => site))]
  const plots = sites.map(site => drawBars(`${site}: jobs on time beside a backlog`, {
    series: ['on time', 'worst seed'],
    unit: '%',
    rows: reports.filter(report => report.site === site).map(({ order, faults, jobs, onTime, shares }) => ({
      label: `${order}${faults ? ', with kills' : ''}`,
      values: [PERCENT * onTime / jobs, PERCENT * Math.min(...shares)]
    }))
  }))
  return plots.length === 0 ? '' : `<h2>Due times</h2>${plots.join('')}`
}
