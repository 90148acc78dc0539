import test from 'ava'
import { dueSites } from '../../bench/due/due-sites.js'
import { runDue } from '../../bench/due/run-due.js'

// Menus and itinerary drafts are due within minutes while other callers' jobs would keep the fleet busy for two hours. The
// daemon that runs some of their chunks is killed, and a server of another one. In the order of arrival the backlog would
// be first, and every one of them late; what callers see is whether their job is whole by its due time.
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
