import 'reflect-metadata'
import test from 'ava'
import type { Route } from '../../src/config/route.js'
import type { Flood } from '../helpers/flood.js'
import { RouteBench } from '../helpers/route-bench.js'
import { RunningClock } from '../helpers/running-clock.js'
import { ThreadedFlood } from '../helpers/threaded-flood.js'

/** Longest time until the caller has an answer and the connection is closed, ms of a RunningClock; the caller's own deadline is later. */
const MAX_TIME = 4_000
const DEADLINE = 8_000
/** Most that the process may grow by, bytes. */
const MAX_GROWTH = 64_000_000
const CHUNK = 'x'.repeat(65_536)

const clock = new RunningClock()

const cases: ReadonlyArray<readonly [string, string, Flood, Partial<Route>]> = [
  ['a head of ever more lines', 'heads', { begin: 'unfinished head', text: 'x-more: yes\r\n', floodsReports: true }, { streamed: true }],
  ['a head of one line', 'line', { begin: 'unfinished header', text: CHUNK, floodsReports: true }, { streamed: true }],
  ['bytes that are no answer', 'bytes', { begin: 'nothing', text: CHUNK, floodsReports: true }, { streamed: true }],
  ['an event without end', 'event', { begin: 'unfinished event', text: CHUNK, floodsReports: true }, { streamed: true }],
  ['lines of a stream that end no event', 'lines', { begin: 'stream', text: 'data: more\n', floodsReports: true }, { streamed: true }],
  ['a body without end', 'body', { begin: 'body', text: CHUNK, floodsReports: true }, {}]
]

for (const [name, path, flood, route] of cases) {
  // Guards against a faulty server that fills a daemon's memory, or keeps it busy until the caller leaves.
  test.serial(`${name}: the caller is answered in time, the connection is closed and memory doesn't grow`, async t => {
    const server = new ThreadedFlood('server-0', flood)
    t.teardown(() => server.stop())
    await server.start()
    const bench = await RouteBench.start({ ports: [server.port], route: { attempts: 1, ...route }, time: DEADLINE, clock })
    t.teardown(async () => await bench.stop())
    const before = process.memoryUsage().rss
    const began = clock.now()
    const answered = await bench.ask(`/${path}`)
    const took = clock.now() - began
    t.true(took <= MAX_TIME, `answered after ${took} ms`)
    t.true(answered.status >= 500 || !answered.isComplete)
    const growth = process.memoryUsage().rss - before
    t.true(growth <= MAX_GROWTH, `grown by ${growth} bytes`)
    let open = await server.countOpen()
    while (open > 0 && clock.now() - began <= MAX_TIME) {
      await new Promise(resolve => setTimeout(resolve, 20))
      open = await server.countOpen()
    }
    t.log(`answered ${answered.status} after ${Math.round(took)} ms, closed after ${Math.round(clock.now() - began)} ms, grown by ${Math.round(growth / 1e6)} MB; read for ${(await server.listTimes()).map(Math.round).join(', ')} ms`)
    t.is(open, 0)
  })
}
