import 'reflect-metadata'
import test from 'ava'
import { OrderHarness } from './helpers/order-harness.js'

// Until the claims of an owner settle, it may not order its servers. If they took the load slots meanwhile, a server
// whose claim has settled would wait for them.
test('a server whose claim has not settled takes no slot from one whose claim has', async t => {
  const harness = new OrderHarness(t)
  for (const name of ['a', 'b', 'c']) await harness.addServer(name)
  const version = await harness.accept(0)
  harness.place(version, 'new')
  const isSettled = (server: string): boolean => server === 'c'
  await harness.start({ listOwned: () => ['a', 'b', 'c'], isSettled, getAuthority: server => isSettled(server) ? 9 : undefined, confirm: () => {} })
  await harness.runUntil(() => harness.received.length > 0 || harness.stateReads > 12)
  t.deepEqual(harness.received[0], { server: 'c', order: { kind: 'load', model: 'new', fencing: 9 } })
})
