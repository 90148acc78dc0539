import test from 'ava'
import type { Route } from '../../src/config/route.js'
import { RunTimes } from '../../src/routing/ending/run-times.js'

const createRoute = (host: string): Route => ({ host, pathPrefix: '/', services: [], streamed: true, idempotent: false, resumable: false, attempts: 1, timeout: 0, target: 300, priority: 0 })

function recordAll (times: RunTimes, route: Route, runs: readonly number[]): void {
  for (const time of runs) times.record(route, time)
}

// Guards against a route that counts as short because its few first runs were.
test('a route is unknown until some runs have ended, and then as long as the longest', t => {
  const times = new RunTimes()
  recordAll(times, createRoute('h'), [10, 3_000, 20])
  t.is(times.findLongest(createRoute('h')), undefined)
  times.record(createRoute('h'), 30)
  t.is(times.findLongest(createRoute('h')), 3_000)
})

// Guards against a route that is refused for a run of long ago.
test('a long run is forgotten after many short ones', t => {
  const times = new RunTimes()
  recordAll(times, createRoute('h'), [3_000, ...Array.from({ length: 63 }, () => 10)])
  t.is(times.findLongest(createRoute('h')), 3_000)
  times.record(createRoute('h'), 10)
  t.is(times.findLongest(createRoute('h')), 10)
})

// Guards against memory that grows with each route of each configuration.
test('of very many routes those that ran longest ago are forgotten', t => {
  const times = new RunTimes()
  recordAll(times, createRoute('first'), [1, 2, 3, 4])
  recordAll(times, createRoute('other'), [1, 2, 3, 4])
  for (let i = 0; i < 1_998; i++) times.record(createRoute(`h${i}`), 1)
  times.record(createRoute('other'), 5)
  t.is(times.findLongest(createRoute('first')), 4)
  times.record(createRoute('last'), 1)
  t.is(times.findLongest(createRoute('first')), undefined)
  t.is(times.findLongest(createRoute('other')), 5)
})
