import test from 'ava'
import fc from 'fast-check'
import type { LoadReport } from '../../src/placement/load-report.js'
import { LoadTable } from '../../src/placement/load-table.js'

const report = fc.uniqueArray(fc.tuple(fc.constantFrom('s1', 's2', 's3'), fc.nat(5), fc.nat(5)), { selector: ([server]) => server })

test('the sums match the stored reports after any sequence of changes', t => {
  fc.assert(fc.property(fc.array(fc.record({ daemon: fc.constantFrom('a', 'b', 'c'), row: report, at: fc.nat(100), drop: fc.option(fc.nat(100)) })), steps => {
    const table = new LoadTable()
    const stored = new Map<string, { report: LoadReport, at: number }>()
    for (const { daemon, row: report, at, drop } of steps) {
      table.put(daemon, report, at)
      stored.set(daemon, { report, at })
      if (drop === null) continue
      table.dropBefore(drop)
      for (const [name, { at }] of stored) if (at < drop) stored.delete(name)
    }
    const reports = [...stored.values()].flatMap(({ report }) => report)
    return ['s1', 's2', 's3'].every(server => {
      const sum = (index: 1 | 2): number => reports.reduce((total, counts) => total + (counts[0] === server ? counts[index] : 0), 0)
      return table.find(server).online === sum(1) && table.find(server).batch === sum(2)
    })
  }))
  t.pass()
})

test('lists the batch counts at a server by source', t => {
  const table = new LoadTable()
  for (const [daemon, batch] of [['a', 2], ['b', 3], ['d', 0]] as const) table.put(daemon, [['s', 1, batch], ['other', 0, 9]], 0)
  t.deepEqual(table.listBatchCounts('s'), [['a', 2], ['b', 3]])
  t.deepEqual(table.listBatchCounts('none'), [])
})
