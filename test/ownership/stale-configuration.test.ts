import 'reflect-metadata'
import test from 'ava'
import { OrderTrial } from './helpers/order-trial.js'

// What operators see: a placement that stays as they set it last. A daemon that was frozen has claimed a server anew, so
// that its orders carry the highest fencing number, but hasn't heard of the configuration that was accepted meanwhile.
// It must not order by the one that it knows; once it knows the last one, it orders.
test('an owner orders by the configuration accepted last, or not at all', async t => {
  const trial = new OrderTrial(t)
  await trial.addServer('a', 'new')
  const old = await trial.accept(0)
  const last = await trial.accept(old)
  trial.place(old, 'old')
  await trial.start({ listOwned: () => ['a'], isSettled: () => true, getAuthority: () => 9, confirm: () => {} })
  await trial.runUntil(() => trial.stateReads > 3)
  t.deepEqual(trial.received, [])
  trial.place(last, 'newer')
  await trial.runUntil(() => trial.received.length > 0)
  t.deepEqual(trial.received[0], { server: 'a', order: { kind: 'unload', model: 'new', fencing: 9 } })
})
