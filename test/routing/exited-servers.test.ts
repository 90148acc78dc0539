import 'reflect-metadata'
import test, { type ExecutionContext } from 'ava'
import { ItemRun } from '../../src/jobs/item-run.js'
import type { ItemState } from '../../src/jobs/item-state.js'
import { SystemClock } from '../../src/kernel/system-clock.js'
import { EventIntervals } from '../../src/placement/pace/event-intervals.js'
import { Sender } from '../../src/routing/exchanges/sender.js'
import { Servers } from '../../src/routing/servers/servers.js'
import { serverDialect } from '../../platform/server-dialect.js'
import { DispatchBench } from '../helpers/dispatch-bench.js'
import { RawServer } from '../helpers/raw-server.js'
import { RouteBench } from '../helpers/route-bench.js'

// Guards against a part of an answer that is taken for whole: its server exits, and the system closes its connections regularly.

const EVENTS = 4
function buildEvents (first: number, last: number): string {
  return Array.from({ length: Math.max(0, last - first + 1) }, (_, i) => `id: ${first + i}\ndata: ${first + i}\n\n`).join('')
}

/** A server whose answers only their connection ends. With `exitsAfter` it exits after so many events of its first run. */
async function startServer (t: ExecutionContext, { exitsAfter, type = 'text/event-stream' }: { readonly exitsAfter?: number, readonly type?: string } = {}): Promise<number> {
  const server = await RawServer.start((socket, text) => {
    if (text.startsWith('OPTIONS')) {
      socket.end('HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n')
      return
    }
    const after = Number(/last-event-id: (\d+)/i.exec(text)?.[1] ?? 0)
    const id = /x-request-id: (.*)\r\n/i.exec(text)![1]!
    socket.write(`HTTP/1.1 200 OK\r\ncontent-type: ${type}\r\nx-request-id: ${id}\r\nconnection: close\r\n\r\n`)
    if (exitsAfter !== undefined) server.stopListening()
    socket.end(buildEvents(after + 1, exitsAfter === undefined ? EVENTS : after + exitsAfter))
  })
  t.teardown(() => server.close())
  return server.port
}

const kinds = {
  'a resumable stream': { route: { streamed: true, idempotent: true, resumable: true }, isWhole: true },
  'a stream that can not be resumed': { route: { streamed: true }, isWhole: false },
  'a whole answer that may run again': { route: { idempotent: true }, type: 'text/plain', isWhole: true },
  'a whole answer that may not run again': { route: {}, type: 'text/plain', isWhole: false }
} as const

for (const [name, kind] of Object.entries(kinds)) {
  for (const events of [1, 2]) {
    test.serial(`${name} whose server exits after ${events} of its ${EVENTS} events is never taken for whole`, async t => {
      const type = 'type' in kind ? kind.type : undefined
      const ports = [await startServer(t, { exitsAfter: events, type }), await startServer(t, { type })]
      const bench = await RouteBench.start({ ports, route: kind.route })
      t.teardown(async () => await bench.stop())
      const { status, isComplete, body } = await bench.ask('/x')
      t.is(status === 200 && isComplete, kind.isWhole)
      if (kind.isWhole) t.is(body, buildEvents(1, EVENTS))
    })
  }
}

test.serial('an item whose server exits after two events, and again before the next, is not completed with two', async t => {
  const ports = [await startServer(t, { exitsAfter: 2 }), await startServer(t, { exitsAfter: 0 }), await startServer(t)]
  const bench = new DispatchBench({ ports })
  t.teardown(async () => await bench.stop())
  const [sender, servers] = [bench.container.resolve(Sender), bench.container.resolve(Servers)]
  const state: ItemState = { item: { id: 'x', path: '/x', headers: {}, body: 'eA==', tokens: 1 }, last: undefined, texts: [], failures: 0, losses: 0, notBefore: 0, phase: 'running' }
  const outcomes: string[] = []
  for (const run of [0, 1, 2, 2]) {
    const { type } = await new ItemRun({ state, parts: [], host: 'h', caller: undefined, pool: 'pool', server: `server-${run}`, mayStart: () => true, clock: new SystemClock(), sender, servers, intervals: new EventIntervals(), dialect: serverDialect }).run()
    outcomes.push(type)
  }
  t.deepEqual(outcomes, ['lost', 'lost', 'lost', 'completed'])
  t.deepEqual(state.texts, ['1', '2', '3', '4'])
})
