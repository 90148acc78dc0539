import test from 'ava'
import { EventEngine } from '../../stand-ins/machines/event-engine.js'
import { callDaemon } from '../helpers/call-daemon.js'
import { startMachines } from '../helpers/start-machines.js'

const IDS = ['a b', '{3f2a}', 'YWJj+/ZGVm==', 'lot:7', 'a%2Fb', 'a%b', 'x'.repeat(256)]

// Guards against jobs that are accepted and whose results, bodies and ends are answered 404, since their ids are encoded in a URL.
test('a job can be read and ended under any id that it was accepted with', async t => {
  const fleet = await startMachines(2, [new EventEngine({ id: 'i-0' })])
  t.teardown(async () => { await fleet.stop() })
  const { front } = fleet.daemons[0]!.ports
  for (const id of IDS) {
    const items = [{ id: `item ${id.slice(0, 20)}`, path: '/drafts/1', headers: {}, body: 'eA==', tokens: 1 }]
    t.is((await callDaemon(front, '/drafts/', { id, body: { items } })).status, 202, id)
  }
  for (const { ports } of fleet.daemons) {
    for (const id of IDS) {
      const read = async (): Promise<{ readonly status: number, readonly text: string, readonly headers: object }> => await callDaemon(ports.front, `/api/lots/${encodeURIComponent(id)}?after=0`, { method: 'GET' })
      await fleet.waitUntil(`${id} is listed`, async () => (await read()).text.includes('"completed"'))
      t.false('x-powered-by' in (await read()).headers)
      t.not((await callDaemon(ports.front, `/api/items/${encodeURIComponent(id)}?id=item`, { method: 'GET' })).status, 400)
      t.is((await callDaemon(ports.front, `/api/lots/${encodeURIComponent(id)}`, { method: 'DELETE' })).status, 200)
    }
  }
  t.is((await callDaemon(front, '/api/lots/%zz', { method: 'GET' })).status, 404)
})
