import 'reflect-metadata'
import test from 'ava'
import { Random } from '../../src/kernel/random.js'
import { Metrics } from '../../src/observe/metrics.js'
import type { ApiAnswer } from '../../src/store/api-answer.js'
import { CallGate } from '../../src/store/call-gate.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

const TIMEOUT = 2_000
const CALL = { type: 'list', kind: 'k', prefix: '', after: '', limit: 1 } as const

/** Sends two calls that get no answer, pauses the process for `time` ms, and returns whether the circuit is open after that. */
async function failTwoCalls (time: number): Promise<boolean> {
  const clock = new VirtualClock()
  const ends: Array<(answer: ApiAnswer) => void> = []
  const transport = { send: async () => await new Promise<ApiAnswer>(resolve => { ends.push(resolve) }), close: async () => {} }
  const gate = new CallGate(transport, { clock, random: new Random(1), metrics: new Metrics() })
  const calls = [gate.send(CALL, 'background', TIMEOUT), gate.send(CALL, 'background', TIMEOUT)]
  await clock.advance(0)
  clock.pause(time)
  for (const end of ends) end({ type: 'no answer', reason: 'timeout' })
  await Promise.all(calls)
  gate.close()
  return gate.isOut
}

// A daemon is paused with two calls in progress. When it resumes, their timeouts fire before the answers are read, though the
// platform was up all the time.
test('timeouts that fire late after a pause of the process do not open the circuit', async t => {
  t.false(await failTwoCalls(6_000))
})

test('timeouts that fire on time open the circuit', async t => {
  t.true(await failTwoCalls(TIMEOUT))
})
