import test from 'ava'
import 'reflect-metadata'
import { LoopDelay } from '../../src/observe/loop-delay.js'
import { Metrics } from '../../src/observe/metrics.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

async function createDelay (): Promise<{ clock: VirtualClock, metrics: Metrics, readLongest: () => number }> {
  const [clock, metrics] = [new VirtualClock(), new Metrics()]
  await new LoopDelay(clock, metrics).start()
  const readLongest = (): number => Number(/loop_delay_longest_ms (\d+)/.exec(metrics.write())![1])
  return { clock, metrics, readLongest }
}

test('an idle event loop has no delay', async t => {
  const { clock, metrics, readLongest } = await createDelay()
  await clock.advance(10_000)
  t.is(metrics.quantile('loop_delay_ms', 100), 0)
  t.is(readLongest(), 0)
})

test('a blocked event loop is recorded as one delay of the time that it missed', async t => {
  const { clock, metrics, readLongest } = await createDelay()
  await clock.advance(1_000)
  clock.pause(400)
  await clock.advance(1_000)
  t.is(readLongest(), 150)
  t.true(Math.abs(metrics.quantile('loop_delay_ms', 100) - 150) < 2)
})

test('the longest delay is reported for 15 to 30 s', async t => {
  const { clock, readLongest } = await createDelay()
  await clock.advance(14_000)
  clock.pause(500)
  await clock.advance(15_000)
  t.is(readLongest(), 250)
  await clock.advance(16_000)
  t.is(readLongest(), 0)
})
