import { createServer as createHttpServer } from 'node:http'
import { createServer, type AddressInfo, type Server } from 'node:net'
import test from 'ava'
import { isServerGone } from '../../src/routing/is-server-gone.js'
import { StrictServer } from '../helpers/strict-server.js'

async function listen (server: Server): Promise<string> {
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`
}

// A process ends: its connections are cut, a new one still enters its backlog and is reset unread, the next is refused.
// Held for alive at the first, it let the request that had ended it go on to a third server.
test('a server that takes a connection while it ends is gone', async t => {
  const server = createServer(socket => {
    server.close()
    socket.resetAndDestroy()
  })
  t.true(await isServerGone(await listen(server)))
})

test('a server that answers, with whatever, is there', async t => {
  const server = createServer(socket => socket.end('HTTP/1.0 400 Bad Request\r\n\r\n'))
  t.false(await isServerGone(await listen(server)))
  server.close()
})

test('a server that says nothing is there', async t => {
  const server = createServer(() => {})
  t.teardown(() => server.close())
  t.false(await isServerGone(await listen(server)))
})

// A server that is sound refused the probe as malformed, and its log blamed a caller.
test('a server is asked by a request that it can read and that names none of its resources', async t => {
  const server = await StrictServer.start(({ socket }) => { socket.end('HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n') })
  t.teardown(async () => await server.close())
  t.false(await isServerGone(`http://127.0.0.1:${server.port}`))
  t.deepEqual(server.violations, [])
  t.deepEqual(server.requests.map(({ line }) => line), ['OPTIONS * HTTP/1.1'])
  t.is(server.requests[0]!.headers.get('host'), `127.0.0.1:${server.port}`)
})

// A service that counts or logs its calls took each probe for one more.
test('a probe reaches no handler of an HTTP server', async t => {
  const calls: string[] = []
  const server = createHttpServer((req, res) => {
    calls.push(`${req.method} ${req.url}`)
    res.end()
  })
  t.teardown(() => server.close())
  t.false(await isServerGone(await listen(server)))
  t.deepEqual(calls, [])
})
