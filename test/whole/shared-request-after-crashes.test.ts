import test from 'ava'
import { EventEngine } from '../../stand-ins/machines/event-engine.js'
import { callDaemon } from '../helpers/call-daemon.js'
import { startMachines } from '../helpers/start-machines.js'

const ENGINES = 4
const CRASHED = 2
/** Requests at once, so that each server has some. */
const REQUESTS = 16
const DOWN_TIME = 1_000 // ms
const SETTLE_TIME = 3_000 // ms

// Guards against sound requests that are refused for minutes because others with their path and body were in flight at two servers that crashed once.
test('requests that share path and body are served again after two servers crashed once', async t => {
  const engines = Array.from({ length: ENGINES }, (_, i) => new EventEngine({ id: `i-${i}`, events: 30, pause: 20 }))
  const fleet = await startMachines(1, engines)
  t.teardown(async () => await fleet.stop())
  const ask = async (name: string): Promise<readonly number[]> => await Promise.all(Array.from({ length: REQUESTS }, async (_, n) => {
    const answer = await callDaemon(fleet.daemons[0]!.ports.front, '/quotes/tide', { id: `${name}-${n}`, body: 'when', headers: { 'x-prompt-prefix': `5c1e07a2:200,${name}${n}:250` } }).catch(() => undefined)
    return answer?.status ?? 0
  }))
  const first = ask('first')
  await fleet.waitUntil('all servers are at work', () => engines.every(({ runs }) => runs.some(({ events }) => events > 2)))
  const crashed = engines.slice(0, CRASHED)
  for (const engine of crashed) engine.stop()
  await first
  await new Promise(resolve => setTimeout(resolve, DOWN_TIME))
  for (const engine of crashed) await engine.start(engine.port)
  await new Promise(resolve => setTimeout(resolve, SETTLE_TIME))
  const later = await ask('later')
  t.true(later.filter(status => status === 200).length >= REQUESTS / 4, `answered ${later.join(', ')}`)
})
