import test from 'ava'
import { createServer } from 'node:http'
import { createAgent } from '../../src/http/create-agent.js'
import { listen } from '../../src/http/listen.js'
import { SystemClock } from '../../src/kernel/system-clock.js'
import { Exchange } from '../../src/routing/exchanges/exchange.js'

const EVENTS = 20
/** Pause between two events, ms. */
const PAUSE = 5

// A signal for each read, created and aborted for a silence that didn't come, took a tenth of the processor time of a streamed request.
test('reads of a stream that is never silent create no signals', async t => {
  const server = createServer((_req, res) => {
    let sent = 0
    const timer = setInterval(() => {
      res.write(`id: ${++sent}\ndata: x\n\n`)
      if (sent < EVENTS) return
      clearInterval(timer)
      res.end()
    }, PAUSE)
  })
  const origin = `http://127.0.0.1:${await listen(server, '127.0.0.1', 0)}`
  const agent = createAgent()
  const exchange = new Exchange({ clock: new SystemClock(), agent, origin, path: '/', method: 'GET', headers: {}, body: null, onSilent: ({ abandon }) => abandon() })
  t.true((await exchange.open(5_000)).ok)
  const Original = AbortController
  let created = 0
  globalThis.AbortController = class extends Original {
    constructor () {
      super()
      created++
    }
  }
  try {
    let reads = 0
    while ((await exchange.read(5_000)).unwrap() !== undefined) reads++
    t.true(reads > 1)
    t.is(created, 0)
  } finally {
    globalThis.AbortController = Original
    await agent.destroy()
    server.close()
  }
})
