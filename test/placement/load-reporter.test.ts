import test from 'ava'
import type { LoadCounts } from '../../src/placement/load-counts.js'
import type { LoadReport } from '../../src/placement/load-report.js'
import { LoadReporter } from '../../src/placement/load-reporter.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

// Guards against slots that count as taken for 3 s, in which requests are refused though servers are free: the one row that told a
// broker that nothing is left was lost. A daemon that is at rest falls silent all the same.
test('a row that says that nothing is left is told twice, and no more', async t => {
  const clock = new VirtualClock()
  const ownCounts = new Map<string, LoadCounts>([['s1', { online: 1, batch: 0 }]])
  const told: LoadReport[] = []
  const rows = new LoadReporter({ clock, loads: { ownCounts }, map: { findBrokerForServer: () => 'broker' }, send: (_broker, row) => told.push(row) })
  rows.start()
  await clock.advance(1_500)
  ownCounts.delete('s1')
  told.length = 0
  rows.reportSoon()
  await clock.advance(100)
  t.deepEqual(told, [[]])
  await clock.advance(10_000)
  t.deepEqual(told, [[], []])
  rows.stop()
})
