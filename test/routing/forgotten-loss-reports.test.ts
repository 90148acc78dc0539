import test from 'ava'
import { LossReports } from '../../src/routing/quarantine/loss-reports.js'

const TIMEOUT = 1_000 // ms

// Guards against a request that gets no answer because its server answers another one while the reports of its loss are awaited.
test('a wait for the reports of a loss ends when the loss is forgotten', async t => {
  const reports = new LossReports()
  t.true(reports.begin('server', ['a', 'b']))
  const waits = [0, 1].map(async () => await new Promise<string>(resolve => reports.wait('server', () => resolve('ended'))))
  reports.receive('server', 'a')
  reports.forget('server')
  t.deepEqual(await Promise.race([Promise.all(waits), new Promise(resolve => setTimeout(resolve, TIMEOUT, 'open'))]), ['ended', 'ended'])
  t.true(reports.begin('server', ['a']))
})
