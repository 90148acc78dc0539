import test from 'ava'
import { orderJobs } from '../../src/batch/order-jobs.js'
import type { WorkEntry } from '../../src/batch/work-entry.js'

const HOUR = 3_600_000

function entry (job: string, caller: string, due: number, items = 100): WorkEntry {
  return { job, caller, due, items, created: 0, service: 'drafts' }
}

test('jobs are ordered by urgency, callers\' shares and recent usage', t => {
  const entries = [entry('huge', 'kitchen', 24 * HOUR, 98_000), entry('small', 'kitchen', 24 * HOUR), entry('menu', 'hall', 20 * HOUR), entry('late', 'desk', HOUR)]
  const table: ReadonlyArray<readonly [string, Readonly<Record<string, number>>, Readonly<Record<string, number>>, readonly string[]]> = [
    ['the earliest due time first without any usage', {}, {}, ['late', 'menu', 'huge', 'small']],
    ['an urgent job regardless of its caller\'s share', { desk: 9_000, late: 9_000 }, { late: HOUR }, ['late', 'menu', 'huge', 'small']],
    ['the caller with the least usage for its weight', { desk: 100, hall: 10, kitchen: 60 }, {}, ['menu', 'huge', 'small', 'late']],
    ['a small job beside a huge one of the same caller', { kitchen: 0, hall: 1, desk: 1, huge: 500 }, {}, ['small', 'huge', 'late', 'menu']]
  ]
  for (const [name, used, rest, expected] of table) {
    const order = orderJobs(entries, { date: 0, share: caller => caller === 'kitchen' ? 4 : 1, used: name => used[name] ?? 0, estimate: ({ job }) => rest[job] ?? 0 })
    t.deepEqual(order.map(({ job }) => job), expected, name)
  }
})
