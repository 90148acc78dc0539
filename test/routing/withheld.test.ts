import test from 'ava'
import { DispatchBench } from '../helpers/dispatch-bench.js'
import { RawServer } from '../helpers/raw-server.js'

// The request waits for a connection, and may not begin any more when that is there. No byte may leave, its sender hears
// that it didn't run, and nothing is held against the server: with it, healthy servers would be left out after a pause.
test('a request that may not begin any more is not sent when its connection comes', async t => {
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
