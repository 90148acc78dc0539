import test, { type ExecutionContext } from 'ava'
import { once } from 'node:events'
import { connect } from 'node:net'
import { request } from 'undici'
import { CallerClient } from '../../harness/caller-client.js'
import { Fleet } from '../../harness/fleet.js'
import { readFolder } from '../../src/config/read-folder.js'

const CHAT = '/v1/chat/completions'
const MEGABYTE = 1_000_000

async function startFleet (t: ExecutionContext) {
  const fleet = await Fleet.start()
  t.teardown(async () => await fleet.stop())
  const server = await fleet.addServer('engine-0', 'domain-a', { pool: 'charter-engines', kind: 'engine' })
  const daemon = await fleet.addDaemon('entry-0', 'domain-a')
  await fleet.apply(readFolder('demo/folder').unwrap())
  return { fleet, server, url: fleet.url(daemon), port: daemon.instance.port }
}

async function ask (url: string, { method = 'POST', token = '', body = '' }: { readonly method?: 'GET' | 'POST' | 'PUT', readonly token?: string, readonly body?: string | Buffer }) {
  const response = await request(url, { method, headers: token === '' ? {} : { authorization: token }, body: method === 'GET' ? null : body })
  return { status: response.statusCode, problem: JSON.parse(await response.body.text()) }
}

/** Sends raw bytes and returns the response, up to the end of the connection. */
async function sendRaw (port: number, bytes: string): Promise<string> {
  const socket = connect(port, '127.0.0.1')
  let text = ''
  socket.on('data', data => { text += data })
  socket.on('error', () => {})
  socket.write(bytes)
  await once(socket, 'close')
  return text
}

test('unauthorized and malformed requests get a problem document with the cause and reach no server', async t => {
  const { fleet, server, url, port } = await startFleet(t)
  const caller = 'Bearer quay-desk-token'
  const cases: readonly (readonly [string, Parameters<typeof ask>[1], number, RegExp])[] = [
    [CHAT, {}, 401, /token/],
    [CHAT, { token: 'Bearer wrong' }, 401, /token/],
    [CHAT, { token: 'Basic quay-desk-token' }, 401, /token/],
    ['/operator/drain', { token: caller }, 401, /token/],
    ['/operator/status', { method: 'GET', token: `Bearer ${fleet.operatorToken}x` }, 401, /token/],
    [CHAT, { token: caller, body: 'not json' }, 400, /model/],
    [CHAT, { token: caller, body: '{"model": "none"}' }, 400, /model/],
    [CHAT, { token: caller, body: Buffer.alloc(2 * MEGABYTE) }, 413, /limit of 1000000/],
    ['/services/none/x', { token: caller }, 404, /none/],
    ['/nowhere', { method: 'GET' }, 404, /path/]
  ]
  for (const [path, options, status, detail] of cases) {
    const answer = await ask(url + path, options)
    t.is(answer.status, status, path)
    t.regex(answer.problem.detail, detail, path)
  }
  t.regex(await sendRaw(port, 'no such protocol\r\n\r\n'), /^HTTP\/1.1 400[^]*malformed/)
  t.regex(await sendRaw(port, `GET / HTTP/1.1\r\nx: ${'a'.repeat(20_000)}\r\n\r\n`), /^HTTP\/1.1 431[^]*headers-too-large/)
  t.is((await fleet.readLog(server)).length, 0)
})

// Guards against slow headers and oversized bodies that exhaust memory or delay other callers.
test('slow headers and oversized bodies neither grow memory nor affect other callers', async t => {
  const { fleet, url, port } = await startFleet(t)
  const readMemory = async (): Promise<number> => (await fleet.operator('GET', fleet.daemons[0]!, '/operator/status')).memory
  const caller = new CallerClient(url, 'quay-desk-token')
  t.is((await caller.chat('berth-assistant', 'tide?')).status, 200)
  const before = await readMemory()
  const slow = Promise.all(Array.from({ length: 200 }, async () => await sendRaw(port, 'POST / HTTP/1.1\r\nx-slow: ')))
  const floods = Array.from({ length: 8 }, async (_, i) => {
    return await ask(url + CHAT, { token: i % 2 === 0 ? '' : 'Bearer quay-desk-token', body: Buffer.alloc(20 * MEGABYTE) })
  })
  const calm = await Promise.all(Array.from({ length: 20 }, async () => await caller.chat('berth-assistant', 'tide?')))
  t.deepEqual([...new Set(calm.map(({ status }) => status))], [200])
  t.deepEqual((await Promise.all(floods)).map(({ status }) => status).sort(), [401, 401, 401, 401, 413, 413, 413, 413])
  const grown = await readMemory() - before
  t.true(grown < 64 * MEGABYTE, `grew by ${grown}`)
  t.true((await slow).every(text => /^HTTP\/1.1 408[^]*too-slow/.test(text)))
})
