import test from 'ava'
import { estimateRatio } from '../../bench/estimate-ratio.js'
import type { OnlineSample } from '../../bench/online-sample.js'
import { Random } from '../../src/kernel/random.js'

const OPTIONS = { quantile: 0.99, pick: ({ firstToken }: OnlineSample) => [firstToken] }

/** Draws `count` requests over 24 s with random latencies multiplied by `factor`. */
function draw (seed: number, count: number, factor = 1): readonly OnlineSample[] {
  const random = new Random(seed)
  return Array.from({ length: count }, (_, n) => ({ block: String(n % 24), firstToken: factor * (20 + 40 * random.next()), gaps: [] }))
}

test('the interval for equal distributions contains 1, and narrows with more requests', t => {
  const [few, many] = [200, 20_000].map(count => estimateRatio(draw(1, count), draw(2, count), OPTIONS)) as [ReturnType<typeof estimateRatio>, ReturnType<typeof estimateRatio>]
  for (const { low, high } of [few, many]) t.true(low <= 1.01 && high >= 0.99)
  t.true(many.high - many.low < few.high - few.low)
})

test('a slowdown of 10 % is distinguished from chance and from a bound of 1.05', t => {
  const { value, low } = estimateRatio(draw(1, 20_000, 1.1), draw(2, 20_000), OPTIONS)
  t.true(Math.abs(value - 1.1) < 0.01)
  t.true(low > 1.05)
})

test('one slow second widens the interval, as its requests are late together', t => {
  const calm = draw(1, 2_400)
  const bad = calm.map(sample => sample.block === '7' ? { ...sample, firstToken: 5 * sample.firstToken } : sample)
  const { low, high } = estimateRatio(bad, draw(2, 2_400), OPTIONS)
  t.true(low < 1.2 && high > 3)
})
