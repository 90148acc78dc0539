import 'reflect-metadata'
import test from 'ava'
import { OrderHarness } from './helpers/order-harness.js'

// A daemon that was paused has claimed a server again, under the highest fencing number, but hasn't received the
// configuration accepted meanwhile. It must not order by its old one, which would revert the operators' change.
test('an owner orders by the configuration accepted last, or not at all', async t => {
  const harness = new OrderHarness(t)
  await harness.addServer('a', 'new')
  const old = await harness.accept(0)
  const last = await harness.accept(old)
  harness.place(old, 'old')
  await harness.start({ listOwned: () => ['a'], isSettled: () => true, getAuthority: () => 9, confirm: () => {} })
  await harness.runUntil(() => harness.stateReads > 3)
  t.deepEqual(harness.received, [])
  harness.place(last, 'newer')
  await harness.runUntil(() => harness.received.length > 0)
  t.deepEqual(harness.received[0], { server: 'a', order: { kind: 'unload', model: 'new', fencing: 9 } })
})
