import 'reflect-metadata'
import test from 'ava'
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { ConfigurationHolder } from '../../src/config/configuration-holder.js'
import { ConfigurationObjects } from '../../src/config/configuration-objects.js'
import { emptyConfiguration } from '../../src/config/empty-configuration.js'
import { Timeline } from '../../src/observe/timeline.js'
import { ServerOrders } from '../../src/ownership/server-orders.js'
import type { ServerOwners } from '../../src/ownership/server-owners.js'
import type { InstanceList } from '../../src/platform/instance-list.js'
import { MemoryStore } from '../../stand-ins/platform/memory-store.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

/** Virtual time for each turn of the real loop, ms; the server answers within far fewer turns than a timeout has. */
const STEP = 1

// What operators see: a placement that stays as they set it last. A daemon that was frozen has claimed a server anew, so
// that its orders carry the highest fencing number, but hasn't heard of the configuration that was accepted meanwhile.
// It must not order by the one that it knows; once it knows the last one, it orders.
test('an owner orders by the configuration accepted last, or not at all', async t => {
  let visits = 0
  const orders: unknown[] = []
  const server = createServer(async (req, res) => {
    const isOrder = req.method === 'POST'
    if (isOrder) for await (const part of req) orders.push(JSON.parse(String(part)))
    else visits++
    res.end(JSON.stringify({ role: 'mixed', models: [{ model: 'new', state: 'loaded' }] }))
  }).listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  const [clock, store, configuration] = [new VirtualClock(), new MemoryStore(), new ConfigurationHolder()]
  const place = (version: number, model: string): boolean => configuration.offer({ ...emptyConfiguration, version, placement: { engines: { models: [model], checksFencing: true } } })
  const owners = { listOwned: () => ['a'], getAuthority: () => 9, confirm: () => {} } as unknown as ServerOwners
  const list = { all: [{ name: 'a', pool: 'engines', host: '127.0.0.1', port }] } as unknown as InstanceList
  const timeline = new Timeline(clock, { instance: 'entry' } as ConstructorParameters<typeof Timeline>[1])
  const part = new ServerOrders(owners, list, configuration, new ConfigurationObjects(store, clock), timeline, store, clock)
  t.teardown(async () => {
    await part.stop()
    server.close()
  })
  const accept = async (version: number): Promise<number> => (await store.put('configuration', 'manifest', {}, version)).unwrap().version
  const visitUntil = async (enough: () => boolean): Promise<void> => {
    while (!enough()) {
      await clock.advance(STEP)
      await new Promise<void>(resolve => setImmediate(resolve))
    }
  }

  const old = await accept(0)
  const last = await accept(old)
  place(old, 'old')
  await part.start()
  await visitUntil(() => visits > 3)
  t.deepEqual(orders, [])
  place(last, 'newer')
  await visitUntil(() => orders.length > 0)
  t.deepEqual(orders[0], { kind: 'unload', model: 'new', fencing: 9 })
})
