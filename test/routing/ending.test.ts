import 'reflect-metadata'
import test from 'ava'
import type { Route } from '../../src/config/route.js'
import { Ending } from '../../src/routing/ending/ending.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

const ENDS_AT = 10_000
const RUN = 1_000 // ms, of the runs that are known
const LATEST = ENDS_AT - 1.2 * RUN
const route: Route = { host: 'h', pathPrefix: '/', services: [], streamed: true, idempotent: false, resumable: false, attempts: 1, timeout: 0, target: 300, priority: 0 }
const jobs: Route = { ...route, pathPrefix: '/jobs/', jobs: { dueAfter: 1_000, giveUpAfter: 1_000, maxWaitingTokens: 0 } }

function create (): { readonly clock: VirtualClock, readonly ending: Ending } {
  const clock = new VirtualClock()
  const ending = new Ending(clock)
  for (let i = 0; i < 4; i++) ending.times.record(route, RUN)
  return { clock, ending }
}

const cases = [
  { name: 'a request of a known route', request: { route, deadline: 30_000 }, late: LATEST },
  { name: 'a request that its caller gives up in time', request: { route, deadline: ENDS_AT }, late: undefined },
  { name: 'a request of an unknown route', request: { route: { ...route, host: 'other' }, deadline: 30_000 }, late: 2_000 },
  { name: 'a submission of a job', request: { route: jobs, deadline: 3_000 }, late: ENDS_AT - 2_100 },
  { name: 'a call about a job', request: { deadline: Infinity }, late: ENDS_AT - 2_100 }
]

// Guards against requests that wait for a slot, or for their body, until their process ends, and are cut.
for (const { name, request, late } of cases) {
  test(`${name} that waits already when the end begins is told in time that it is too late`, async t => {
    const { clock, ending } = create()
    const told: number[] = []
    ending.watchStart(request, () => told.push(clock.now()))
    await clock.advance(2_000)
    t.false(ending.isTooLate(request))
    ending.begin(ENDS_AT)
    await clock.advance(ENDS_AT)
    t.deepEqual(told, late === undefined ? [] : [late])
  })
}

// Guards against a request that is given up as too late though it has started.
test('nobody is told who has stopped to watch', async t => {
  const { clock, ending } = create()
  const told: string[] = []
  const stops = [ending.watchStart({ deadline: Infinity }, () => told.push('late')), ending.watchEnd(() => told.push('end'))]
  ending.begin(ENDS_AT)
  for (const stop of stops) stop()
  await clock.advance(ENDS_AT)
  ending.finish()
  t.deepEqual(told, [])
})
