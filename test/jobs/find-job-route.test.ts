import test from 'ava'
import type { Configuration } from '../../src/config/configuration.js'
import type { Route } from '../../src/config/route.js'
import type { JobRoute } from '../../src/jobs/job-route.js'
import { findJobRoute } from '../../src/jobs/find-job-route.js'
import type { OwnedJob } from '../../src/jobs/owned-job.js'
import { RouteFinder } from '../../src/jobs/route-finder.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

// Guards against accepted jobs that are given up because another route now has the longest prefix of their path.

const TERMS = { dueAfter: 1, giveUpAfter: 0, maxWaitingTokens: 0 }
const PATH = '/sheets/friday/kitchen-0'
const ACCEPTED = { name: 'sheets', pathPrefix: '/sheets/' }

function create (pathPrefix: string, { host = 'h', jobs = true } = {}): Route {
  return { host, pathPrefix, services: [], streamed: !jobs, idempotent: false, resumable: false, attempts: 1, timeout: 0, target: 1, priority: 0, jobs: jobs ? TERMS : undefined }
}

interface Case { readonly name: string, readonly routes: Readonly<Record<string, Route>>, readonly found: string | undefined, readonly route?: JobRoute | undefined }

const sheets = create('/sheets/')
const cases: readonly Case[] = [
  { name: 'a route of streams gets a longer prefix', routes: { friday: create('/sheets/friday/', { jobs: false }), sheets }, found: 'sheets' },
  { name: 'another route of jobs gets a longer prefix', routes: { friday: create('/sheets/friday/'), sheets }, found: 'sheets' },
  { name: 'its route is renamed', routes: { 'sheets-2': sheets, friday: create('/sheets/friday/') }, found: 'sheets-2' },
  { name: 'the prefix of its route is changed', routes: { sheets: create('/weeks/') }, found: 'sheets' },
  { name: 'another route takes the name of its route, which is renamed', routes: { sheets: create('/weeks/'), 'sheets-2': sheets }, found: 'sheets-2' },
  { name: 'its route is removed and a shorter prefix remains', routes: { all: create('/') }, found: undefined },
  { name: 'its route no longer takes jobs', routes: { sheets: create('/sheets/', { jobs: false }) }, found: undefined },
  { name: 'its route moves to another host', routes: { sheets: create('/sheets/', { host: 'i' }) }, found: undefined },
  { name: 'a former release stored no route, and a route of streams has a longer prefix', routes: { friday: create('/sheets/friday/', { jobs: false }), sheets }, found: 'sheets', route: undefined }
]

for (const { name, routes, found, ...more } of cases) {
  const route = 'route' in more ? more.route : ACCEPTED
  test(`the route of a job where ${name}`, t => {
    t.is(findJobRoute(routes, { host: 'h', path: PATH, ...route !== undefined && { route } }), found === undefined ? undefined : routes[found])
  })
}

// Guards against giving items up at a daemon whose configuration is older than the route that accepted their job.
test('a route is only missing in a configuration that is as new as the one that accepted the job', t => {
  const clock = new VirtualClock()
  let value = { version: 3, routes: {} } as unknown as Configuration
  const finder = new RouteFinder({ clock, getConfiguration: () => value })
  const job = { header: { host: 'h', path: PATH, route: ACCEPTED, configuration: 4 } } as unknown as OwnedJob
  finder.find(job)
  t.is(finder.findMissedAt(job), undefined)
  value = { ...value, version: 4 }
  finder.find(job)
  t.is(finder.findMissedAt(job), clock.now())
})
