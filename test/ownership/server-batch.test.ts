import test from 'ava'
import { ServerBatch } from '../../src/ownership/server-batch.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

// What callers see: a daemon that goes on serving them when servers move to other owners, as after a daemon died or was
// frozen. The runs on a server that is given up are stopped and end one by one; no end may start another item there.
test('a server that was given up gets no more items when its runs end', t => {
  let started = 0
  const batch = new ServerBatch({
    admission: { policy: { type: 'forward' }, maxInFlight: 4, betweenTokens: 40 },
    clock: new VirtualClock(),
    start: () => ({ id: `run-${started++}`, prefill: 1, stop: () => {} })
  })
  batch.tick()
  const before = started
  t.true(before > 0)
  batch.close()
  for (let i = 0; i < before; i++) batch.end(`run-${i}`)
  batch.tick()
  t.is(started, before)
  t.is(batch.count, 0)
})
