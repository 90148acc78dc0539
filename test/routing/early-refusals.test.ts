import test from 'ava'
import { createAgent } from '../../src/http/create-agent.js'
import { SystemClock } from '../../src/kernel/system-clock.js'
import { Exchange } from '../../src/routing/exchanges/exchange.js'
import { markSent } from '../../src/routing/exchanges/mark-sent.js'
import { readToEnd } from '../../src/routing/exchanges/read-to-end.js'
import { StrictServer, type StrictRequest } from '../helpers/strict-server.js'

/** How long the last byte of a body is held back, ms: longer than any answer here takes. */
const HOLD_TIME = 5_000
const TIMEOUT = 20_000 // ms
/** Time between the two parts of an answer, ms. */
const PAUSE = 40
const BODY = 'question'

/** Writes an answer before the body is in, either at once or in two parts. */
function answer ({ socket }: StrictRequest, status: number, isDivided: boolean): void {
  const text = `HTTP/1.1 ${status} Status\r\ncontent-length: 2\r\n\r\n{}`
  if (!isDivided) socket.write(text)
  else socket.write(text.slice(0, -1), () => setTimeout(() => socket.write(text.slice(-1)), PAUSE))
}

/** Sends a request that is answered before its body is in. Returns how many bytes of the body arrive until its connection closes. */
async function countBytes (status: number, isDivided: boolean): Promise<number> {
  const requests: StrictRequest[] = []
  const server = await StrictServer.start(request => {
    requests.push(request)
    answer(request, status, isDivided)
  })
  const agent = createAgent()
  const exchange = new Exchange({ clock: new SystemClock(), agent: agent.compose(markSent), origin: `http://127.0.0.1:${server.port}`, path: '/', method: 'POST', headers: {}, body: Buffer.from(BODY), getHoldTime: () => HOLD_TIME })
  await exchange.open(TIMEOUT)
  await readToEnd(exchange, { getTimeout: () => TIMEOUT })
  const { socket } = requests[0]!
  if (!socket.closed) await new Promise(resolve => socket.once('close', resolve))
  await agent.destroy()
  await server.close()
  return requests[0]!.read
}

for (const isDivided of [false, true]) {
  const how = isDivided ? 'with its body later' : 'at once'

  // Guards against a server that refuses a request early, reads on, and then has the whole of it.
  for (const status of [400, 421, 429, 500, 503]) {
    test(`a request that is answered ${status} ${how}, before its own body is in, never becomes whole at that server`, async t => {
      t.true(await countBytes(status, isDivided) < BODY.length)
    })
  }
}

// Guards against a server that answers early, needs the rest of the body to go on, and never gets it.
test('a request whose answer begins early and is no error becomes whole', async t => {
  t.is(await countBytes(200, true), BODY.length)
})
