import test from 'ava'
import { orderJobs } from '../../src/batch/order-jobs.js'
import { RecentUsage } from '../../src/batch/recent-usage.js'
import type { WorkEntry } from '../../src/batch/work-entry.js'

const HOUR = 3_600_000
const CHUNK = 200
const CHUNK_TIME = 2_000
const SHARES: Readonly<Record<string, number>> = { kitchen: 3, hall: 1, desk: 1 }

// Three callers with unlimited work, one of them with ten times the jobs, and a small job beside a very large one.
test('callers get their shares regardless of their number of jobs, and a small job ends beside a very large one', t => {
  const job = (id: string, caller: string, items: number): WorkEntry => ({ job: id, caller, service: 'drafts', items, created: 0, due: 24 * HOUR })
  const left = new Map([job('k', 'kitchen', 1e9), ...Array.from({ length: 10 }, (_, i) => job(`h${i}`, 'hall', 98_000)), job('d', 'desk', 1e9), job('small', 'desk', 1_000)].map(entry => [entry, entry.items]))
  const use = new RecentUsage()
  const got: Record<string, number> = { kitchen: 0, hall: 0, desk: 0 }
  let smallEnded = Infinity
  for (let now = 0; now < 2 * HOUR; now += CHUNK_TIME) {
    const open = [...left].filter(([, items]) => items > 0).map(([entry]) => entry)
    const [entry] = orderJobs(open, { date: now, share: caller => SHARES[caller]!, used: name => use.get(name, now), estimate: () => 0 })
    left.set(entry!, left.get(entry!)! - CHUNK)
    use.add(entry!.caller, CHUNK, now)
    use.add(entry!.job, CHUNK, now)
    got[entry!.caller]! += CHUNK
    if (entry!.job === 'small' && left.get(entry!) === 0) smallEnded = now
  }
  const all = got.kitchen! + got.hall! + got.desk!
  t.log(`shares of ${all} items: ${JSON.stringify(got)}; the small job ended after ${smallEnded / 1_000} s`)
  for (const [caller, share] of Object.entries(SHARES)) t.true(Math.abs(got[caller]! / all - share / 5) < 0.05 * share / 5)
  t.true(smallEnded < 200_000)
})
