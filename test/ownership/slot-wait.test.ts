import 'reflect-metadata'
import test from 'ava'
import { OrderTrial } from './helpers/order-trial.js'

// What operators see: a change of placement that reaches the servers that can take it. Two of three were taken over just
// now, and until their owner's claims have settled nothing may be ordered of them. Were they to hold the two slots for
// loads meanwhile, the third would wait for them, which needs no waiting itself.
test('a server whose claim has not settled keeps no slot from one whose claim has', async t => {
  const trial = new OrderTrial(t)
  for (const name of ['a', 'b', 'c']) await trial.addServer(name)
  const version = await trial.accept(0)
  trial.place(version, 'new')
  const isSettled = (server: string): boolean => server === 'c'
  await trial.start({ listOwned: () => ['a', 'b', 'c'], isSettled, getAuthority: server => isSettled(server) ? 9 : undefined, confirm: () => {} })
  await trial.runUntil(() => trial.received.length > 0 || trial.stateReads > 12)
  t.deepEqual(trial.received[0], { server: 'c', order: { kind: 'load', model: 'new', fencing: 9 } })
})
