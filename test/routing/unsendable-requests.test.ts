import 'reflect-metadata'
import test from 'ava'
import { ItemRun } from '../../src/jobs/item-run.js'
import { tokens } from '../../src/kernel/tokens.js'
import { Sender } from '../../src/routing/exchanges/sender.js'
import type { ServerRequest } from '../../src/routing/exchanges/server-request.js'
import { Servers } from '../../src/routing/servers/servers.js'
import { serverDialect } from '../../platform/server-dialect.js'
import { DispatchBench } from '../helpers/dispatch-bench.js'
import { RawServer } from '../helpers/raw-server.js'

/** Parts of a request that the HTTP client refuses to send. */
const refused: Readonly<Record<string, Partial<ServerRequest>>> = {
  'a header value beyond Latin-1': { headers: { 'x-model': 'modèle 模' } },
  'a line break in a header': { headers: { 'x-model': 'm\r\nx-other: 1' } },
  'a control character in a header': { headers: { 'x-model': 'm\x01' } },
  'a header name with a space': { headers: { 'x model': 'm' } },
  'a header without a name': { headers: { '': 'm' } },
  'an expectation': { headers: { expect: '200-ok' } },
  'an upgrade': { headers: { upgrade: 'websocket' } },
  'a length that is none': { headers: { 'content-length': 'x' }, body: undefined },
  'an id beyond Latin-1': { id: 'é模' },
  'a path without a slash': { path: 'x' },
  'a path with a space': { path: '/x y' },
  'the path of all resources': { method: 'OPTIONS', path: '*' }
}

interface Trial { readonly bench: DispatchBench, readonly server: RawServer }

async function startTrial (): Promise<Trial & { readonly stop: () => Promise<void> }> {
  const server = await RawServer.start(socket => { socket.write('HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: 15\r\n\r\nid: 1\ndata: a\n\n') })
  const bench = new DispatchBench({ ports: [server.port] })
  const stop = async (): Promise<void> => {
    await bench.stop()
    server.close()
  }
  return { bench, server, stop }
}

for (const [name, change] of Object.entries(refused)) {
  // Guards against requests that can't be sent and eject each server that they are meant for, for all other callers.
  test(`a request with ${name} is answered as such and counts against no server`, async t => {
    const { bench, server, stop } = await startTrial()
    t.teardown(stop)
    const answer = await bench.dispatcher.send(bench.request('bad', change))
    t.like(answer.val, { cause: 'invalid request', ran: 'not run' })
    t.is(server.requests.length, 0)
    t.true(bench.dispatcher.hasCapacity(bench.request('next')))
  })
}

/** Runs an item of a job once at the trial's server. */
async function runItem ({ bench }: Trial, item: { readonly id?: string, readonly path?: string, readonly headers?: Readonly<Record<string, string>> }): Promise<{ readonly type: string }> {
  const state = { item: { id: 'i', path: '/x', headers: {}, body: 'eA==', tokens: 1, ...item }, last: undefined, texts: [], failures: 0, losses: 0, notBefore: 0, phase: 'running' as const }
  const { container } = bench
  return await new ItemRun({ state, parts: [], host: 'h', caller: undefined, pool: 'pool', server: 'server-0', mayStart: () => true, clock: container.resolve(tokens.clock), sender: container.resolve(Sender), servers: container.resolve(Servers), intervals: { record: () => {} }, dialect: serverDialect }).run()
}

for (const [name, item] of Object.entries({ 'a header value beyond Latin-1': { headers: { 'X-Model': '模' } }, 'an id with a line break': { id: 'a\nb' }, 'a path without a slash': { path: 'x' } })) {
  // Guards against an item that can't be sent and ejects one server after the other, so that no other item runs.
  test(`an item with ${name} counts against no server`, async t => {
    const trial = await startTrial()
    t.teardown(trial.stop)
    t.is((await runItem(trial, item)).type, 'lost')
    t.true(trial.bench.dispatcher.hasCapacity(trial.bench.request('next')))
    t.is((await runItem(trial, {})).type, 'completed')
  })
}

// Guards against items that never run because their headers name things that concern a single connection.
test('an item runs without its headers that concern one connection', async t => {
  const trial = await startTrial()
  t.teardown(trial.stop)
  const headers = { Connection: 'keep-alive, X-Hop', 'X-Hop': '1', 'Keep-Alive': 'timeout=5', Upgrade: 'h2c', 'Transfer-Encoding': 'chunked', Expect: '100-continue', 'Content-Length': '7', 'X-Model': 'm' }
  t.is((await runItem(trial, { headers })).type, 'completed')
  const [request] = trial.server.requests
  t.regex(request!.text, /x-model: m\r\n/)
  t.regex(request!.text, /content-length: 1\r\n/)
  t.notRegex(request!.text, /x-hop|keep-alive: timeout|upgrade|transfer-encoding|expect:/)
})
