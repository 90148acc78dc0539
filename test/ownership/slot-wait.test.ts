import 'reflect-metadata'
import test from 'ava'
import { OrderTrial } from './helpers/order-trial.js'

// Until the claims of an owner settle, it may not order its servers. If they took the load slots meanwhile, a server
// whose claim has settled would wait for them.
test('a server whose claim has not settled takes no slot from one whose claim has', async t => {
  const trial = new OrderTrial(t)
  for (const name of ['a', 'b', 'c']) await trial.addServer(name)
  const version = await trial.accept(0)
  trial.place(version, 'new')
  const isSettled = (server: string): boolean => server === 'c'
  await trial.start({ listOwned: () => ['a', 'b', 'c'], isSettled, getAuthority: server => isSettled(server) ? 9 : undefined, confirm: () => {} })
  await trial.runUntil(() => trial.received.length > 0 || trial.stateReads > 12)
  t.deepEqual(trial.received[0], { server: 'c', order: { kind: 'load', model: 'new', fencing: 9 } })
})
