import 'reflect-metadata'
import test from 'ava'
import { OrderTrial } from './helpers/order-trial.js'

// A daemon that was paused has claimed a server again, under the highest fencing number, but hasn't received the
// configuration accepted meanwhile. It must not order by its old one, which would revert the operators' change.
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
