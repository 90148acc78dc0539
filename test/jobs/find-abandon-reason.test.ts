import test from 'ava'
import type { Route } from '../../src/config/route.js'
import { findAbandonReason } from '../../src/jobs/find-abandon-reason.js'

const route: Route = { host: 'h', pathPrefix: '/', services: [], streamed: false, idempotent: false, resumable: false, attempts: 1, timeout: 0, target: 1, priority: 0, jobs: { dueAfter: 18_000, giveUpAfter: 60_000, maxWaitingTokens: 0 } }

// The store is away and every daemon is killed. They start again, find the jobs in the store and have no configuration yet, or
// an old one: their callers were told that each item of an open job had failed because its route had gone.
const cases: ReadonlyArray<readonly [string, Parameters<typeof findAbandonReason>[0], string | undefined]> = [
  ['no configuration is known yet', { route: undefined, routeMissedAt: undefined, acceptedAt: 0, now: 20_000 }, undefined],
  ['the route is missing since a moment ago', { route: undefined, routeMissedAt: 16_000, acceptedAt: 0, now: 20_000 }, undefined],
  ['the route has gone', { route: undefined, routeMissedAt: 15_000, acceptedAt: 0, now: 20_000 }, 'its route has gone'],
  ['in time', { route, routeMissedAt: undefined, acceptedAt: 0, now: 60_500 }, undefined],
  ['its time is over', { route, routeMissedAt: undefined, acceptedAt: 0, now: 63_001 }, 'its time is over'],
  ['a route without such a time', { route: { ...route, jobs: { ...route.jobs!, giveUpAfter: 0 } }, routeMissedAt: undefined, acceptedAt: 0, now: 1e9 }, undefined]
]

for (const [name, times, cause] of cases) {
  test(name, t => { t.is(findAbandonReason(times), cause) })
}
