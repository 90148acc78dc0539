import test from 'ava'
import { PendingCalls } from '../../src/peers/pending-calls.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

// A daemon is restarted while it waits for an answer. Guards against the answer to the ended process settling a call of the new one, which then
// takes a page of results from another position, or of another job, for its own.
test('an answer to a call of an ended process settles no call of the next one', async t => {
  const clock = new VirtualClock()
  const sent: number[] = []
  for (let i = 0; i < 3; i++) {
    void new PendingCalls<string>(clock).open('d2', 1_000, call => sent.push(call))
    await clock.advance(1)
  }
  t.is(new Set(sent).size, 3)
  const calls = new PendingCalls<string>(clock)
  const answer = calls.open('d2', 1_000, call => sent.push(call))
  for (const call of sent.slice(0, 3)) t.false(calls.has(call, 'd2'))
  calls.settle(sent[3]!, 'own')
  t.is(await answer, 'own')
})
