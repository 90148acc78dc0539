import test from 'ava'
import type { Route } from '../../src/config/route.js'
import { findAbandonReason } from '../../src/jobs/find-abandon-reason.js'

const route: Route = { host: 'h', pathPrefix: '/', services: [], streamed: false, idempotent: false, resumable: false, attempts: 1, timeout: 0, target: 1, priority: 0, jobs: { dueAfter: 18_000, giveUpAfter: 60_000, maxWaitingTokens: 0 } }

// Guards against failing the items of open jobs because a daemon has no configuration yet after a restart, or an old one.
const cases: ReadonlyArray<readonly [string, Parameters<typeof findAbandonReason>[0], string | undefined]> = [
  ['no configuration is known yet', { route: undefined, routeMissedAt: undefined, acceptedAt: 0, now: 20_000 }, undefined],
  ['the route has been missing for a short time', { route: undefined, routeMissedAt: 16_000, acceptedAt: 0, now: 20_000 }, undefined],
  ['the route no longer exists', { route: undefined, routeMissedAt: 15_000, acceptedAt: 0, now: 20_000 }, 'its route no longer exists'],
  ['in time', { route, routeMissedAt: undefined, acceptedAt: 0, now: 60_500 }, undefined],
  ['past the time limit', { route, routeMissedAt: undefined, acceptedAt: 0, now: 63_001 }, 'its time limit has passed'],
  ['a route without a time limit', { route: { ...route, jobs: { ...route.jobs!, giveUpAfter: 0 } }, routeMissedAt: undefined, acceptedAt: 0, now: 1e9 }, undefined]
]

for (const [name, times, cause] of cases) {
  test(name, t => { t.is(findAbandonReason(times), cause) })
}
