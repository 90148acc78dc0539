import test from 'ava'
import { dueSites } from '../../bench/due/due-sites.js'
import { runDue } from '../../bench/due/run-due.js'

// Jobs are due within minutes while the backlog of other callers would keep the fleet busy for two hours, and a daemon and a
// server are killed. In order of arrival the backlog would run first and every one of the jobs would be late.
for (const site of dueSites.filter(({ name }) => !name.includes('more menus'))) {
  test(`${site.name}: on time beside a backlog, also with a daemon and a server killed`, t => {
    for (const faults of [false, true]) {
      for (const seed of [1, 2]) {
        const ours = runDue(site, { order: 'ours', seed, faults })
        t.is(ours.onTime, site.urgent.jobs)
        t.true(ours.backlogItems > 0)
        t.is(runDue(site, { order: 'first come', seed, faults }).onTime, 0)
      }
    }
  })
}
