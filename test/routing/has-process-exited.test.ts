import test from 'ava'
import type { Socket } from 'node:net'
import { hasProcessExited } from '../../src/routing/servers/has-process-exited.js'
import { serverDialect } from '../../platform/server-dialect.js'
import { RawServer } from '../helpers/raw-server.js'

const STARTED_AT = 1_000

function answerReport (report: object, { isClosed = false } = {}): (socket: Socket) => void {
  const body = JSON.stringify(report)
  return socket => {
    socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n${isClosed ? 'connection: close\r\n' : ''}\r\n${body}`)
    if (isClosed) socket.end()
  }
}

/** Closes the first connections unread, as an exiting process does. */
function closeFirst (count: number, answer: (socket: Socket) => void): (socket: Socket) => void {
  let closed = 0
  return socket => closed++ < count ? socket.end() : answer(socket)
}

const rows = {
  'the listed process answers': { answer: answerReport({ born: STARTED_AT }), exited: false },
  'the listed process answers and closes each connection': { answer: answerReport({ born: STARTED_AT }, { isClosed: true }), exited: false },
  'another process answers': { answer: answerReport({ born: 2_000 }), exited: true },
  'another process answers and closes each connection': { answer: answerReport({ born: 2_000 }, { isClosed: true }), exited: true },
  'another process answers once the listed one has closed a connection': { answer: closeFirst(2, answerReport({ born: 2_000 })), exited: true },
  'a process answers that states no start': { answer: answerReport({}), exited: false },
  'nothing answers': { answer: () => {}, exited: false }
}

// Guards against an end that counts as regular though its process is gone, and against sound ends that don't.
for (const [name, { answer, exited }] of Object.entries(rows)) {
  test(`${name}: its process ${exited ? 'has exited' : 'counts as alive'}`, async t => {
    const server = await RawServer.start(answer)
    t.teardown(() => server.close())
    t.is(await hasProcessExited({ url: `http://127.0.0.1:${server.port}`, startedAt: STARTED_AT }, serverDialect.report), exited)
  })
}

test('nothing listens: its process has exited', async t => {
  const server = await RawServer.start(() => {})
  server.close()
  t.true(await hasProcessExited({ url: `http://127.0.0.1:${server.port}`, startedAt: STARTED_AT }, serverDialect.report))
})
