import test, { type ExecutionContext } from 'ava'
import { createServer, type ServerResponse } from 'node:http'
import { Readable } from 'node:stream'
import { listen } from '../../src/http/listen.js'
import { sendKeyedOutcome } from '../../src/entry/send-keyed-outcome.js'
import { readRawAnswer, type RawAnswer } from '../helpers/read-raw-answer.js'

// Guards against an answer under an idempotency key that promises its caller an end which its server never marked.

async function ask (t: ExecutionContext, send: (res: ServerResponse) => Promise<void>): Promise<RawAnswer> {
  const server = createServer((_req, res) => { void send(res) })
  const port = await listen(server, '127.0.0.1', 0)
  t.teardown(() => server.close())
  return await readRawAnswer(port, '/', {})
}

async function * breakOff (): AsyncGenerator<Buffer> {
  yield Buffer.from('ab')
  throw new Error('cut')
}

const outcome = { type: 'answered', status: 200, replayed: false } as const
const bodies = { 'kept bytes': () => Buffer.from('abcd'), 'a long body': () => Readable.from([Buffer.from('ab'), Buffer.from('cd')], { objectMode: false }) }

for (const [name, build] of Object.entries(bodies)) {
  for (const isEndMarked of [true, false]) {
    test(`${name}, ${isEndMarked ? 'marked' : 'not marked'} by its server, is sent the same way`, async t => {
      t.like(await ask(t, async res => await sendKeyedOutcome(res, { ...outcome, body: build(), isEndMarked })), { status: 200, body: 'abcd', isComplete: true, isMarked: isEndMarked })
    })
  }
}

for (const isEndMarked of [true, false]) {
  test(`a long body, ${isEndMarked ? 'marked' : 'not marked'} by its server, that is cut doesn't look complete`, async t => {
    t.like(await ask(t, async res => await sendKeyedOutcome(res, { ...outcome, body: Readable.from(breakOff(), { objectMode: false }), isEndMarked })), { status: 200, isComplete: false, isMarked: isEndMarked })
  })
}
