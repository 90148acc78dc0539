import test from 'ava'
import { checkRecord } from '../../bench/soak/check-record.js'
import { runSoak } from '../../bench/soak/run-soak.js'

interface Case { readonly seed: number, readonly why: string }

const cases: readonly Case[] = [
  { seed: 1, why: 'a daemon is paused and one is killed while settings change and streams break off' },
  { seed: 14, why: 'a server leaves, bytes of callers are delayed and a daemon is killed: a relay must keep the order of delayed bytes' }
]

// Callers with open connections to every daemon, and submitters of jobs, run while the faults of a seed affect processes, the
// store, servers and connections. What callers and servers observe must keep every promise.
for (const { seed, why } of cases) {
  test.serial(`soak ${seed}: ${why}`, async t => {
    t.timeout(90_000)
    const { record } = await runSoak(seed)
    t.deepEqual(checkRecord(record), [])
  })
}
