import 'reflect-metadata'
import { createServer } from 'node:http'
import test from 'ava'
import { serverDialect } from '../../platform/server-dialect.js'
import { listen } from '../../src/http/listen.js'
import { ItemRun } from '../../src/jobs/item-run.js'
import type { ItemState } from '../../src/jobs/item-state.js'
import { SystemClock } from '../../src/kernel/system-clock.js'
import { EventIntervals } from '../../src/placement/pace/event-intervals.js'
import { Sender } from '../../src/routing/exchanges/sender.js'
import { Servers } from '../../src/routing/servers/servers.js'
import { DispatchBench } from '../helpers/dispatch-bench.js'

const EVENTS = 3
/** Runs after which an item that gets no further counts as run without end. */
const MAX_RUNS = 5

// Guards against items that are run again without end, because every server needs longer for their first event than a run waits.
for (const place of ['before its head', 'after its head'] as const) {
  for (const delay of [1_000, 2_500, 5_000]) {
    test(`an item ends at servers that are silent for ${delay} ms each time ${place}`, async t => {
      const server = createServer((req, res) => {
        req.resume()
        const head = { 'content-type': 'text/event-stream', 'x-request-id': String(req.headers['x-request-id']) }
        if (place === 'after its head') res.writeHead(200, head).flushHeaders()
        setTimeout(() => {
          if (res.destroyed) return
          if (place === 'before its head') res.writeHead(200, head)
          for (let n = Number(req.headers['last-event-id'] ?? 0) + 1; n <= EVENTS; n++) res.write(`id: ${n}\ndata: piece ${n}\n\n`)
          res.end()
        }, delay)
      })
      const bench = new DispatchBench({ ports: [await listen(server, '127.0.0.1', 0)] })
      t.teardown(async () => {
        await bench.stop()
        server.close()
        server.closeAllConnections()
      })
      const state: ItemState = { item: { id: 'item', path: '/', headers: {}, body: 'eA==', tokens: 1 }, last: undefined, texts: [], failures: 0, losses: 0, notBefore: 0, phase: 'running' }
      const outcomes: string[] = []
      while (outcomes.length < MAX_RUNS && outcomes.at(-1) !== 'completed') {
        const { type } = await new ItemRun({ state, parts: [], host: 'h', caller: undefined, pool: 'pool', server: 'server-0', mayStart: () => true, clock: new SystemClock(), sender: bench.container.resolve(Sender), servers: bench.container.resolve(Servers), intervals: new EventIntervals(), dialect: serverDialect }).run()
        outcomes.push(type)
        // As the runner counts it.
        if (type === 'lost') state.losses++
      }
      t.log(outcomes.join())
      t.is(outcomes.at(-1), 'completed')
      t.is(state.texts.length, EVENTS)
    })
  }
}
