import test from 'ava'
import { connect, type Socket } from 'node:net'
import { Child } from '../../harness/child.js'
import { HttpTransport } from '../../src/store/http-transport.js'

const CONNECT_WAIT = 300
const MAX_CONNECTIONS = 64

/** Starts a listening process, stops it, and fills its backlog, so that the system accepts no further connection. */
async function startFullListener (): Promise<{ readonly child: Child, readonly port: number, readonly sockets: readonly Socket[] }> {
  const program = [process.execPath, '-e', 'const s = require("net").createServer().listen({ port: 0, host: "127.0.0.1", backlog: 1 }, () => console.log(JSON.stringify({ port: s.address().port })))']
  const { child, ready } = await Child.start<{ port: number }>([], { program })
  child.signal('SIGSTOP')
  const sockets: Socket[] = []
  for (let isOpen = true; isOpen && sockets.length < MAX_CONNECTIONS;) {
    const socket = connect(ready.port, '127.0.0.1')
    socket.on('error', () => {})
    sockets.push(socket)
    isOpen = await new Promise<boolean>(resolve => {
      socket.once('connect', () => resolve(true))
      setTimeout(() => resolve(false), CONNECT_WAIT)
    })
  }
  return { child, port: ready.port, sockets }
}

// A daemon is partitioned from the store: no connection is established. A call with a short timeout must not wait for the
// connect timeout instead.
test('a call ends within its timeout though no connection is established', async t => {
  const { child, port, sockets } = await startFullListener()
  const transport = new HttpTransport(`http://127.0.0.1:${port}`)
  try {
    const began = performance.now()
    const answer = await transport.send({ type: 'get', kind: 'k', name: 'n' }, 200)
    t.is(answer.type, 'no answer')
    t.true(performance.now() - began < 1_000)
  } finally {
    for (const socket of sockets) socket.destroy()
    child.signal('SIGKILL')
    await child.waitForExit()
    await transport.close()
  }
})
