import test from 'ava'
import { DispatchBench } from '../helpers/dispatch-bench.js'
import { RawServer } from '../helpers/raw-server.js'

// Guards against sending a request that may no longer start when its connection is ready, and against counting it as a failure
// of the server.
test('a request that may no longer start is not sent when its connection is ready', async t => {
  const server = await RawServer.start(() => {})
  const bench = new DispatchBench({ ports: [server.port] })
  t.teardown(async () => {
    await bench.stop()
    server.close()
  })
  let may = true
  const sending = bench.dispatcher.send(bench.request('ask', { mayStart: () => may, idempotent: false }))
  may = false
  const answer = await sending
  t.like(answer.val, { cause: 'server failed', ran: 'not run' })
  t.is(server.requests.length, 0)
  t.true(bench.dispatcher.hasCapacity(bench.request('next')))
})
