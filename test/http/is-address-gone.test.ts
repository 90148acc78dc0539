import test from 'ava'
import { once } from 'node:events'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { isAddressGone } from '../../src/http/is-address-gone.js'

async function open (onSocket: (socket: Socket) => void): Promise<{ readonly server: Server, readonly port: number }> {
  const server = createServer(onSocket)
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  return { server, port: (server.address() as AddressInfo).port }
}

// Three addresses: one accepts connections without sending anything; one refuses them; one, of a process that is exiting, accepts
// and closes them unread, and refuses them a moment later.
test('a process that accepts connections is alive, one whose address refuses them has ended', async t => {
  const { server, port } = await open(() => {})
  t.false(await isAddressGone({ host: '127.0.0.1', port }))
  server.close()
  const ending = await open(socket => socket.destroy())
  setTimeout(() => ending.server.close(), 50)
  t.true(await isAddressGone({ host: '127.0.0.1', port: ending.port }))
  t.true(await isAddressGone({ host: '127.0.0.1', port }))
})
