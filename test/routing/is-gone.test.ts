import { createServer, type AddressInfo, type Server } from 'node:net'
import test from 'ava'
import { isGone } from '../../src/routing/is-gone.js'

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
  t.true(await isGone(await listen(server)))
})

test('a server that answers, with whatever, is there', async t => {
  const server = createServer(socket => socket.end('HTTP/1.0 400 Bad Request\r\n\r\n'))
  t.false(await isGone(await listen(server)))
  server.close()
})

test('a server that says nothing is there', async t => {
  const server = createServer(() => {})
  t.teardown(() => server.close())
  t.false(await isGone(await listen(server)))
})
