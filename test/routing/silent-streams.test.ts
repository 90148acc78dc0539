import 'reflect-metadata'
import test from 'ava'
import type { PlacementRequest } from '../../src/placement/placement-request.js'
import { buildWholeBody, startPausingServer, type PausedRun } from '../helpers/pausing-server.js'
import { RouteBench } from '../helpers/route-bench.js'

const overloaded = { cause: 'overloaded', ran: 'not run', retryAfter: 100, detail: 'every slot is taken' } as const

// Guards against a stream that is cut behind a server which was silent for a second, because no other server had a slot.
test('a stream whose server is silent for a second goes on there while no other server has a slot', async t => {
  const runs: PausedRun[] = []
  const server = await startPausingServer({ server: 0, runs, pauseAfter: 4, pause: 1_200, isFull: () => false })
  const place = ({ avoided, start, refuse }: PlacementRequest): void => avoided.length === 0 ? start('server-0') : refuse(overloaded)
  const bench = await RouteBench.start({ ports: [server.port], route: { streamed: true, idempotent: true, resumable: true, attempts: 3 }, time: 4_000, place })
  t.teardown(async () => {
    await bench.stop()
    server.close()
  })
  const { body, isComplete } = await bench.ask('/stream/a')
  t.true(isComplete)
  t.is(body, buildWholeBody('/stream/a'))
  t.is(runs.length, 1)
})
