import test from 'ava'
import { once } from 'node:events'
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { dropBody } from '../../src/http/drop-body.js'
import { readBody } from '../../src/http/read-body.js'

const MEGABYTE = 1_000_000
const BODY = 8 * MEGABYTE
const LIMIT = MEGABYTE
const HEAD = 'POST / HTTP/1.1\r\nhost: h\r\n'
/** Bytes that the kernel and the parser may hold besides those that were read, on each side. */
const IN_FLIGHT = 4 * MEGABYTE

type Way = 'unread' | 'too long' | 'too long, in chunks'

function buildRequest (way: Way): Buffer {
  const body = Buffer.alloc(BODY, 'x')
  if (way !== 'too long, in chunks') return Buffer.concat([Buffer.from(`${HEAD}content-length: ${BODY}\r\n\r\n`), body])
  return Buffer.concat([Buffer.from(`${HEAD}transfer-encoding: chunked\r\n\r\n${BODY.toString(16)}\r\n`), body, Buffer.from('\r\n0\r\n\r\n')])
}

async function readAnswer (socket: Socket, status: number): Promise<void> {
  let text = ''
  while (!text.startsWith(`HTTP/1.1 ${status}`)) text += String((await once(socket, 'data'))[0])
}

// Guards against refused bodies that come faster than their memory is collected, and against a connection that is cut or stuck behind one.
for (const way of ['unread', 'too long', 'too long, in chunks'] satisfies Way[]) {
  test(`a refused body, ${way}, is answered at once, read at a limited rate, and followed by the next request`, async t => {
    const answer = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
      const body = way === 'unread' ? dropBody(req) : await readBody(req, LIMIT)
      res.writeHead(req.method === 'GET' || body?.ok === true ? 200 : 413).end()
    }
    const server = createServer((req, res) => { void answer(req, res) })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    const accepted = once(server, 'connection') as Promise<[Socket]>
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
    t.teardown(() => {
      socket.destroy()
      server.close()
      server.closeAllConnections()
    })
    const [incoming] = await accepted
    const began = performance.now()
    socket.write(buildRequest(way))
    await readAnswer(socket, 413)
    t.true(incoming.bytesRead < LIMIT + IN_FLIGHT, `${incoming.bytesRead} bytes read`)
    socket.write('GET / HTTP/1.1\r\nhost: h\r\n\r\n')
    await readAnswer(socket, 200)
    t.true(incoming.bytesRead > BODY)
    // A megabyte for each 100 ms, of which the first one waits for nothing and the last one may be incomplete.
    t.true(performance.now() - began > (BODY / MEGABYTE - 2) * 100)
  })
}
