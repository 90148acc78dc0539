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

// Guards against a part of an answer that is taken for whole: its server's process has ended, and another one listens at its address at once.

const EVENTS = 4
const STARTED_AT = 1_000
const NEXT_START = 2_000

interface ServerOptions {
  /** Number of events that its first run ends after. */
  readonly runEvents?: number
  /** Start of the process that listens from the end of the first run on; the same process by default. */
  readonly next?: number
  readonly type?: string
  readonly buildBody?: (first: number, last: number) => string
}

function buildEvents (first: number, last: number): string {
  return Array.from({ length: Math.max(0, last - first + 1) }, (_, i) => `id: ${first + i}\ndata: ${first + i}\n\n`).join('')
}

/** A server whose answers only their connection ends, and whose report states the start of its process. */
async function startServer (t: ExecutionContext, { runEvents = EVENTS, next = STARTED_AT, type = 'text/event-stream', buildBody = buildEvents }: ServerOptions = {}): Promise<number> {
  let startedAt = STARTED_AT
  const server = await RawServer.start((socket, text) => {
    if (text.startsWith('OPTIONS')) return socket.end('HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n')
    const report = JSON.stringify({ born: startedAt })
    if (text.startsWith('GET /api/report ')) return socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${report.length}\r\n\r\n${report}`)
    const after = Number(/last-event-id: (\d+)/i.exec(text)?.[1] ?? 0)
    const id = /x-request-id: (.*)\r\n/i.exec(text)![1]!
    const isFirst = startedAt === STARTED_AT
    socket.write(`HTTP/1.1 200 OK\r\ncontent-type: ${type}\r\nx-request-id: ${id}\r\nconnection: close\r\n\r\n`)
    startedAt = next
    socket.end(buildBody(after + 1, isFirst ? Math.min(EVENTS, after + runEvents) : EVENTS))
  })
  t.teardown(() => server.close())
  return server.port
}

const kinds = {
  'a resumable stream': { route: { streamed: true, idempotent: true, resumable: true }, type: 'text/event-stream', isRepeated: true },
  'a stream that can not be resumed': { route: { streamed: true }, type: 'text/event-stream', isRepeated: false },
  'a whole answer that may run again': { route: { idempotent: true }, type: 'text/plain', isRepeated: true },
  'a whole answer that may not run again': { route: {}, type: 'text/plain', isRepeated: false }
} as const

for (const [name, { route, type, isRepeated }] of Object.entries(kinds)) {
  for (const events of [1, 2]) {
    test(`${name} whose server is replaced after ${events} of its ${EVENTS} events is never taken for whole`, async t => {
      const ports = [await startServer(t, { runEvents: events, next: NEXT_START, type }), await startServer(t, { type })]
      const bench = await RouteBench.start({ ports, route, startedAt: STARTED_AT })
      t.teardown(async () => await bench.stop())
      const { status, isComplete, body } = await bench.ask('/x')
      t.is(status === 200 && isComplete, isRepeated)
      if (isRepeated) t.is(body, buildEvents(1, EVENTS))
    })
  }

  // Guards against sound answers that are broken off.
  test(`${name} whose server runs on is whole`, async t => {
    const bench = await RouteBench.start({ ports: [await startServer(t, { type }), await startServer(t, { type })], route, startedAt: STARTED_AT })
    t.teardown(async () => await bench.stop())
    const { status, isComplete, body } = await bench.ask('/x')
    t.is(status, 200)
    t.true(isComplete)
    t.is(body, buildEvents(1, EVENTS))
  })
}

async function runItem (t: ExecutionContext, servers: readonly ServerOptions[], runs: readonly number[]): Promise<{ readonly outcomes: readonly string[], readonly texts: readonly string[] }> {
  const bench = new DispatchBench({ ports: await Promise.all(servers.map(async options => await startServer(t, options))), startedAt: STARTED_AT })
  t.teardown(async () => await bench.stop())
  const [sender, known] = [bench.container.resolve(Sender), bench.container.resolve(Servers)]
  const state: ItemState = { item: { id: 'x', path: '/x', headers: {}, body: 'eA==', tokens: 1 }, last: undefined, texts: [], failures: 0, losses: 0, notBefore: 0, phase: 'running' }
  const outcomes: string[] = []
  for (const run of runs) {
    const { type } = await new ItemRun({ state, parts: [], host: 'h', caller: undefined, pool: 'pool', server: `server-${run}`, mayStart: () => true, clock: new SystemClock(), sender, servers: known, intervals: new EventIntervals(), dialect: serverDialect }).run()
    outcomes.push(type)
  }
  return { outcomes, texts: state.texts }
}

test('an item whose server is replaced after two events, and the next before its first, is not completed with two', async t => {
  const next = NEXT_START
  const { outcomes, texts } = await runItem(t, [{ runEvents: 2, next }, { runEvents: 0, next }, {}], [0, 1, 2, 2])
  t.deepEqual(outcomes, ['lost', 'lost', 'lost', 'completed'])
  t.deepEqual(texts, ['1', '2', '3', '4'])
})

const WHOLE = '{"text":"whole"}'

/** Asks the product's own entry; returns the body or the refusal. */
async function askOwnEntry (t: ExecutionContext, options: ServerOptions): Promise<string> {
  const buildBody = (first: number, last: number): string => WHOLE.slice(WHOLE.length * (first - 1) / EVENTS, WHOLE.length * last / EVENTS)
  const bench = new DispatchBench({ ports: [await startServer(t, { ...options, type: 'text/plain', buildBody })], startedAt: STARTED_AT })
  t.teardown(async () => await bench.stop())
  const answer = await bench.dispatcher.send(bench.request('ask', { idempotent: false }))
  if (answer.err) return `${answer.val.cause}, ${answer.val.ran}`
  const parts: Buffer[] = []
  for await (const part of answer.val.body) parts.push(Buffer.from(part))
  return Buffer.concat(parts).toString()
}

test("an answer of the own entry whose server is replaced in its middle isn't taken for whole", async t => {
  t.is(await askOwnEntry(t, { runEvents: 2, next: NEXT_START }), 'server failed, unknown')
})

// Guards against sound answers that are broken off.
test('an answer of the own entry whose server runs on is whole', async t => {
  t.is(await askOwnEntry(t, {}), WHOLE)
})
