import test from 'ava'
import 'reflect-metadata'
import { EventEngine } from '../../stand-ins/machines/event-engine.js'
import { callDaemon } from '../helpers/call-daemon.js'
import { startMachines } from '../helpers/start-machines.js'

// The store refuses each call after more time than the first attempt of a write has. Guards against an answer to a job's caller that
// leaves open whether the job runs (502), though nothing of it was stored.
test('jobs are refused as not run by a store that refuses calls late', async t => {
  const fleet = await startMachines(1, [new EventEngine({ id: 'i-1' })])
  const { front } = fleet.daemons[0]!.ports
  try {
    fleet.store.faults = { down: 'busy', delay: 400 }
    const refused = await callDaemon(front, '/drafts/', { id: 'early', body: { items: [{ id: 'early-1', path: '/drafts/early', headers: {}, body: 'eA==', tokens: 10 }] } })
    t.is(refused.status, 503)
    t.true(Number(refused.headers['retry-after']) > 0)
    fleet.store.faults = {}
    await fleet.waitUntil('the job is found missing', async () => (await callDaemon(front, '/api/lots/early', { method: 'GET' })).status === 404)
  } finally {
    await fleet.stop()
  }
})
