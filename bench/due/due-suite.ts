import type { DueOrder } from './due-order.js'
import type { DueReport } from './due-report.js'
import { dueSites } from './due-sites.js'
import { runDue } from './run-due.js'

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10]
const ORDERS: readonly DueOrder[] = ['ours', 'by pace', 'first come', 'earliest due']
const PERCENT = 100

/** Simulates every order at every site, with and without faults, with the same jobs. */
export function runDueSuite (log: (sentence: string) => void): readonly DueReport[] {
  return dueSites.flatMap(site => [false, true].flatMap(faults => ORDERS.map(order => {
    const runs = SEEDS.map(seed => runDue(site, { order, seed, faults }))
    const jobs = runs.reduce((sum, run) => sum + run.jobs, 0)
    const onTime = runs.reduce((sum, run) => sum + run.onTime, 0)
    const ended = runs.reduce((sum, run) => sum + run.onTime + run.late.length, 0)
    const report: DueReport = {
      site: site.name,
      faults,
      order,
      jobs,
      onTime,
      shares: runs.map(run => run.onTime / run.jobs),
      latest: ended < jobs ? Infinity : Math.max(0, ...runs.flatMap(({ late }) => late)),
      backlogItems: runs.reduce((sum, { backlogItems }) => sum + backlogItems, 0)
    }
    log(`due times, ${site.name}${faults ? ', a daemon and a server killed' : ''}, ${order}: ${onTime} of ${jobs} jobs on time (${(PERCENT * onTime / jobs).toFixed(1)} %, worst seed ${(PERCENT * Math.min(...report.shares)).toFixed(0)} %), latest ${(report.latest / 1_000).toFixed(0)} s late, backlog ${report.backlogItems.toFixed(0)} items`)
    return report
  })))
}
