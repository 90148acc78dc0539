import test, { type ExecutionContext } from 'ava'
import { connect, createServer, type Socket } from 'node:net'
import { once } from 'node:events'
import { askOnConnection } from '../../src/http/ask-on-connection.js'
import { listen } from '../../src/http/listen.js'

const LIMITS = { path: '/report', host: 'server', timeout: 300, maxBody: 1_000 }
const INTERIM_HEAD = 'HTTP/1.1 102 Processing\r\n\r\n'
/** Most of a flood of interim heads that may be read, bytes. */
const MAX_FLOOD = 8_192
const ANSWER = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}'

async function open (t: ExecutionContext, answer: (socket: Socket) => void): Promise<Socket> {
  const server = createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', () => answer(socket))
  })
  const port = await listen(server, '127.0.0.1', 0)
  const socket = connect(port, '127.0.0.1')
  t.teardown(() => {
    socket.destroy()
    server.close()
  })
  await once(socket, 'connect')
  return socket
}

function flood (socket: Socket, head: string, piece: string): void {
  socket.write(head)
  const write = (): void => { while (!socket.destroyed && socket.write(piece.repeat(1_000))); }
  socket.on('drain', write)
  write()
}

const answers: Readonly<Record<string, readonly [answer: (socket: Socket) => void, expected: 'open' | 'closed' | 'error']>> = {
  'a whole one': [socket => socket.write(ANSWER), 'open'],
  'one in pieces': [socket => { for (const [i, piece] of [...ANSWER].entries()) setTimeout(() => socket.write(piece), i * 2) }, 'open'],
  'one that closes the connection': [socket => socket.end(ANSWER.replace('\r\n\r\n', '\r\nconnection: close\r\n\r\n')), 'closed'],
  'one that only its connection ends': [socket => socket.end('HTTP/1.1 200 OK\r\n\r\n{}'), 'closed'],
  'one with a regular close behind it': [socket => socket.end(ANSWER), 'closed'],
  'none, and silence': [() => {}, 'error'],
  'none, and a regular close': [socket => socket.end(), 'error'],
  'none, and a reset': [socket => socket.resetAndDestroy(), 'error'],
  'a part of its head': [socket => socket.end('HTTP/1.1 200 OK\r\ncontent-le'), 'error'],
  'a part of its body': [socket => socket.end('HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\n{}'), 'error'],
  'bytes that are none': [socket => socket.write('none\r\n\r\n'), 'error'],
  'one with bytes behind it': [socket => socket.write(`${ANSWER}${ANSWER}`), 'closed'],
  'a body without end': [socket => flood(socket, 'HTTP/1.1 200 OK\r\n\r\n', 'x'), 'error'],
  'a head without end': [socket => flood(socket, 'HTTP/1.1 200 OK\r\n', 'x: y\r\n'), 'error'],
  'interim heads without end': [socket => flood(socket, '', INTERIM_HEAD), 'error']
}

for (const [name, [answer, expected]] of Object.entries(answers)) {
  // Guards against a connection that is used although its first answer wasn't whole, and against one that is waited for without end.
  test.serial(`the first answer on a connection is ${name}: the connection is then ${expected}`, async t => {
    const socket = await open(t, answer)
    const began = performance.now()
    const answered = await askOnConnection(socket, LIMITS)
    t.is(answered.err ? 'error' : answered.val.isOpen ? 'open' : 'closed', expected)
    t.true(performance.now() - began < LIMITS.timeout + 500)
    if (answered.err) t.true(socket.destroyed)
    if (answered.ok) t.is(answered.val.body.toString(), '{}')
  })
}

// Guards against a flood of heads that is read on after it is given up, one call for each head of 64 kB.
test.serial('the first answer on a connection is given up: little of what has arrived is read on', async t => {
  const socket = await open(t, server => flood(server, '', INTERIM_HEAD))
  let read = 0
  socket.on('data', part => { read += part.length })
  t.true((await askOnConnection(socket, LIMITS)).err)
  t.true(read < MAX_FLOOD, `${read} bytes were read`)
})
