import test from 'ava'
import 'reflect-metadata'
import { Metrics } from '../../src/observe/metrics.js'

test('counters, gauges and quantiles are written in the Prometheus text format', t => {
  const metrics = new Metrics()
  metrics.count('requests_total', { caller: 'a"b' })
  metrics.count('requests_total', { caller: 'a"b' }, 2)
  metrics.gauge('members', () => 6)
  for (let time = 1; time <= 100; time++) metrics.observe('first_token_ms', time, { model: 'm' })
  const lines = metrics.write().split('\n')
  t.true(lines.includes('citronwheel_requests_total{caller="a\\"b"} 3'))
  t.true(lines.includes('citronwheel_members 6'))
  t.true(lines.includes('citronwheel_first_token_ms_count{model="m"} 100'))
  const median = lines.find(line => line.startsWith('citronwheel_first_token_ms{model="m",quantile="0.5"}'))
  t.true(Math.abs(Number(median!.split(' ')[1]) - 50) < 1)
})

test('times out of range are clamped', t => {
  const metrics = new Metrics()
  metrics.observe('wait_ms', -1)
  metrics.observe('wait_ms', 1e12)
  t.true(metrics.quantile('wait_ms', 100) >= 3_500_000)
  t.is(metrics.quantile('never_ms', 50), 0)
})
