import test from 'ava'
import { request } from 'undici'
import { CallerClient } from '../../harness/caller-client.js'
import { Fleet } from '../../harness/fleet.js'

const ITEMS = 40
const POISON = 'ends the engine'

// One item of a job crashes each engine that runs it, with many others in flight there. After the first crash all of
// them are suspects and run in isolation, so that the second crash identifies the item.
test('an item that crashes servers fails after at most two crashes, and the others complete', async t => {
  const fleet = await Fleet.start()
  t.teardown(async () => await fleet.stop())
  const servers = await Promise.all(['a', 'b', 'c', 'd'].map(async domain => await fleet.addServer(`engine-${domain}`, `domain-${domain}`, { pool: 'charter-engines', kind: 'engine' })))
  await Promise.all(['a', 'b'].map(async domain => await fleet.addDaemon(`entry-${domain}`, `domain-${domain}`)))
  await fleet.apply('demo/folder')
  for (const { instance } of servers) await request(`http://127.0.0.1:${instance.port}/control/faults`, { method: 'POST', body: JSON.stringify({ crashOn: POISON }) })
  const caller = new CallerClient(fleet.url(fleet.daemons[0]!), 'quay-desk-token')
  const file = await caller.upload(Array.from({ length: ITEMS }, (_, i) => ({
    custom_id: `item-${i}`, method: 'POST', url: '/v1/chat/completions', body: { model: 'berth-assistant', max_tokens: 8, messages: [{ role: 'user', content: i === 11 ? POISON : `Draft ${i}` }] }
  })))
  const job = await caller.submit(file)
  await fleet.waitUntil(async () => (await caller.readJob(job.id)).status === 'completed')
  t.is((await caller.readResults(job.id, 'output')).length, ITEMS - 1)
  t.deepEqual((await caller.readResults(job.id, 'errors')).map(line => line.custom_id), ['item-11'])
  const alive = await Promise.all(servers.map(async server => await fleet.readLog(server).then(() => true, () => false)))
  t.log(`${alive.filter(live => !live).length} servers lost`)
  t.true(alive.filter(live => !live).length <= 2)
})
