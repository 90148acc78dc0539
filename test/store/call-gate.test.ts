import 'reflect-metadata'
import test from 'ava'
import { Random } from '../../src/kernel/random.js'
import { Metrics } from '../../src/observe/metrics.js'
import type { ApiAnswer } from '../../src/store/api-answer.js'
import { CallGate } from '../../src/store/call-gate.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

const TIMEOUT = 2_000
const CALL = { type: 'list', kind: 'k', prefix: '', after: '', limit: 1 } as const

/** Two calls that wait for the platform and get no answer after `time` ms; whether the circuit is open then. */
async function failTwoCalls (time: number): Promise<boolean> {
  const clock = new VirtualClock()
  const ends: Array<(answer: ApiAnswer) => void> = []
  const transport = { send: async () => await new Promise<ApiAnswer>(resolve => { ends.push(resolve) }), close: async () => {} }
  const gate = new CallGate(transport, { clock, random: new Random(1), metrics: new Metrics() })
  const calls = [gate.send(CALL, 'background', TIMEOUT), gate.send(CALL, 'background', TIMEOUT)]
  await clock.advance(0)
  clock.freeze(time)
  for (const end of ends) end({ type: 'no answer', reason: 'timeout' })
  await Promise.all(calls)
  gate.close()
  return gate.isOut
}

// A daemon is frozen with two calls under way; at the thaw their timeouts fire before what has come is read. The platform was
// there all the time: taken for out, it would not be told the outcome of a booking whose answer has just come.
test('calls that this process itself gave up late say nothing of the platform', async t => {
  t.false(await failTwoCalls(6_000))
})

test('calls that time out in time open the circuit', async t => {
  t.true(await failTwoCalls(TIMEOUT))
})
