import test from 'ava'
import { EventEngine } from '../../stand-ins/machines/event-engine.js'
import { callDaemon } from '../helpers/call-daemon.js'
import { startMachines } from '../helpers/start-machines.js'

/** When the store carries out a write that it doesn't answer, ms. */
const LATE = 8_000
const NOT_RUN = [429, 503]

// Guards against the end of a job that is refused as not run and carried out later.
test('an end whose write may still take effect is not refused as not run', async t => {
  const engine = new EventEngine({ id: 'i-0', events: 400, pause: 50 })
  const fleet = await startMachines(1, [engine])
  t.teardown(async () => await fleet.stop())
  const { front } = fleet.daemons[0]!.ports
  const items = [{ id: 'item', path: '/drafts/item', headers: { 'X-Model': 'm' }, body: 'eA==', tokens: 10 }]
  t.is((await callDaemon(front, '/drafts/', { id: 'job', body: { items } })).status, 202)
  fleet.store.faults.lateWrites = () => LATE
  const { status } = await callDaemon(front, '/api/lots/job', { method: 'DELETE' })
  t.false(NOT_RUN.includes(status), `it was answered ${status}`)
  delete fleet.store.faults.lateWrites
  await fleet.waitUntil('the end is carried out', () => fleet.store.objects.read('job-ends', 'job') !== undefined)
})
