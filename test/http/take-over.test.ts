import test from 'ava'
import { once } from 'node:events'
import { createServer as createHttpServer } from 'node:http'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { takeOver } from '../../src/http/take-over.js'

const REQUEST = 'GET / HTTP/1.1\r\nhost: h\r\n\r\n'

async function readFirst (socket: Socket): Promise<string> {
  const [bytes] = await once(socket, 'data') as [Buffer]
  return bytes.toString()
}

// A daemon starts anew. Callers connect and send while it loads; nothing reads them yet. Once the server is there both those, and one
// that connects later, are answered on the connections that they opened.
test('callers that came while the program was loaded are answered', async t => {
  const waiting: Socket[] = []
  const early = createServer({ pauseOnConnect: true }, socket => waiting.push(socket))
  early.listen(0, '127.0.0.1')
  await once(early, 'listening')
  const { port } = early.address() as AddressInfo
  const [first, second] = [connect(port, '127.0.0.1'), connect(port, '127.0.0.1')]
  first.write(REQUEST)
  while (waiting.length < 2) await once(early, 'connection')
  const server = createHttpServer((req, res) => res.end('served'))
  await takeOver(server, { server: early, waiting })
  t.regex(await readFirst(first), /^HTTP\/1.1 200[^]*served/)
  second.write(REQUEST)
  t.regex(await readFirst(second), /^HTTP\/1.1 200[^]*served/)
  const late = connect(port, '127.0.0.1')
  late.write(REQUEST)
  t.regex(await readFirst(late), /^HTTP\/1.1 200[^]*served/)
  first.write(REQUEST)
  t.regex(await readFirst(first), /^HTTP\/1.1 200[^]*served/)
  for (const socket of [first, second, late]) socket.destroy()
  server.close()
  await once(server, 'close')
  const refused = connect(port, '127.0.0.1')
  const [error] = await once(refused, 'error') as [NodeJS.ErrnoException]
  t.is(error.code, 'ECONNREFUSED')
})
